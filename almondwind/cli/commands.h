// The commands for operators: status, compare, probe, check, explain, trace and
// reference.
#ifndef ALMONDWIND_CLI_COMMANDS_H_
#define ALMONDWIND_CLI_COMMANDS_H_

namespace CLI {
class App;
}  // namespace CLI

namespace almondwind::cli {

// Adds the commands to `app`. A command sets `code` to its exit code when it
// runs.
void AddCommands(CLI::App& app, int& code);

}  // namespace almondwind::cli

#endif  // ALMONDWIND_CLI_COMMANDS_H_
