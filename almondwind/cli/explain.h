// `almondwind check` and `almondwind explain`: validate settings and policies,
// and show how they treat a call, before they are rolled out.
#ifndef ALMONDWIND_CLI_EXPLAIN_H_
#define ALMONDWIND_CLI_EXPLAIN_H_

#include <cstdint>
#include <string>

namespace almondwind::cli {

struct CheckOptions {
  std::string settings;  // settings file of a node; empty: none
  std::string policies;  // folder of TEAM.toml files; empty: none
  std::string sidecar;   // settings file of a sidecar; empty: none
  std::string deploy;    // deploy file of the platform; empty: none
  bool json = false;
};

// Validates the files and prints each finding: faults with file, path and
// remedy, and warnings about declarations without effect. With `json`, a
// finding also has its line. Returns 2 if there is a fault, otherwise 0.
int RunCheck(const CheckOptions& options);

struct ExplainOptions {
  std::string policies;  // folder of TEAM.toml files
  std::string method = "GET";
  std::string target;  // "/TEAM/SERVICE/PATH"
  std::string status;  // file with a node's status as JSON; empty: none
  bool json = false;
};

// Prints how a call would be treated: its route, class, timeout and retries.
// With the status of an entry node, also prints whether that node would refuse
// the call and which machines may receive it. Returns 2 if no route matches the
// call, otherwise 0.
int RunExplain(const ExplainOptions& options);

}  // namespace almondwind::cli

#endif  // ALMONDWIND_CLI_EXPLAIN_H_
