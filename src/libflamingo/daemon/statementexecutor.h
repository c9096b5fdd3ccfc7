#pragma once

#include "api/commandstatusanswer.h"
#include "api/commandstatusrequest.h"
#include "api/statementanswer.h"
#include "api/statementrequest.h"
#include "control/messages.h"
#include "language/statement.h"

namespace flamingo {

class EntryLoop;
struct ControlLoopProxy;

/**
 * Runs statements of the query and command language on an entry VM.
 *
 * Thread safety: any thread may call any method; the methods block. The references outlive the object.
 */
class StatementExecutor {
public:
    StatementExecutor(EntryLoop& entry, const ControlLoopProxy& control);

    /** Parses and runs one statement. A command gets a random id if the request has none. */
    StatementAnswer execute(const StatementRequest& request);

    /**
     * Returns how many lease holders have confirmed a revision.
     *
     * Waits for at most the requested time until it is in force.
     */
    CommandStatusAnswer status(const CommandStatusRequest& request);

private:
    StatementAnswer submitCommand(Command command, Milliseconds wait);
    StatementAnswer administer(AdminRequest request);
    StatementAnswer show(const ShowStatement& statement);
    StatementAnswer query(const QueryStatement& statement);
    StatementAnswer send(const SendStatement& statement);
    void suggestName(const CommandBody& body, StatementAnswer& answer) const;

    EntryLoop& m_entry;
    const ControlLoopProxy& m_control;
};

} // namespace flamingo
