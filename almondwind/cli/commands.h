// The commands of operators: check, explain, status and reference.
#ifndef ALMONDWIND_CLI_COMMANDS_H_
#define ALMONDWIND_CLI_COMMANDS_H_

namespace CLI {
class App;
}  // namespace CLI

namespace almondwind::cli {

// Adds the commands to `app`; each sets `code` to the exit code when it runs.
void AddCommands(CLI::App& app, int& code);

}  // namespace almondwind::cli

#endif  // ALMONDWIND_CLI_COMMANDS_H_
