#pragma once

#include "control/command.h"
#include "language/addmember.h"
#include "language/querystatement.h"
#include "language/removemember.h"
#include "language/sendstatement.h"
#include "language/showstatement.h"

#include <string>
#include <variant>

namespace flamingo {

/**
 * One statement of the query and command language.
 *
 * DECLARE REQUEST is an AlterService with one declared kind.
 */
using Statement = std::variant<CreateService, AlterService, DropService, DrainEndpoint, RestoreEndpoint, LiftQuarantine,
    AddMember, RemoveMember, ShowStatement, QueryStatement, SendStatement>;

/**
 * Returns whether the statement changes the configuration, so that it needs a command id. Thread-safe.
 *
 * Changes of the members of the log have none: asking for one again does no harm.
 */
bool isChange(const Statement& statement);

/** Returns the statement's text, which parses to an equal statement. Thread-safe. */
std::string printStatement(const Statement& statement);

/** Returns the fingerprint as 16 hexadecimal digits, as LIFT QUARANTINE takes it. Thread-safe. */
std::string printFingerprint(Fingerprint fingerprint);

} // namespace flamingo
