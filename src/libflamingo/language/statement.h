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
 * DECLARE REQUEST is represented by an AlterService with one declared kind; EVACUATE and RESTORE DATA CENTRE by a
 * SetEvacuation.
 */
using Statement = std::variant<CreateService, AlterService, DropService, DrainEndpoint, RestoreEndpoint, SetEvacuation,
    LiftQuarantine, AddMember, RemoveMember, ShowStatement, QueryStatement, SendStatement>;

/**
 * Returns whether the statement changes the configuration, so that it needs a command id. Thread-safe.
 *
 * ADD MEMBER and REMOVE MEMBER have no command id, since repeating them is harmless.
 */
bool changesConfiguration(const Statement& statement);

/** Returns the text of the statement; parsing it gives an equal statement. Thread-safe. */
std::string printStatement(const Statement& statement);

/** Returns the fingerprint as 16 hexadecimal digits, the form that LIFT QUARANTINE accepts. Thread-safe. */
std::string printFingerprint(Fingerprint fingerprint);

} // namespace flamingo
