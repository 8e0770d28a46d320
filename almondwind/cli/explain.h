// `almondwind check` and `explain`: what settings and policies mean, before
// they are rolled out.
#ifndef ALMONDWIND_CLI_EXPLAIN_H_
#define ALMONDWIND_CLI_EXPLAIN_H_

#include <cstdint>
#include <string>

namespace almondwind::cli {

struct CheckOptions {
  std::string settings;  // file; empty: none
  std::string policies;  // folder of TEAM.toml files; empty: none
  std::string sidecar;   // settings file of a sidecar; empty: none
  std::string deploy;    // deploy file of the platform; empty: none
  bool json = false;
};

// Validates and warns. Returns 0, or 2 if there is a fault, each printed with
// file, line, path and remedy.
int RunCheck(const CheckOptions& options);

struct ExplainOptions {
  std::string policies;  // folder of TEAM.toml files
  std::string method = "GET";
  std::string target;  // "/TEAM/SERVICE/PATH"
  std::string status;  // file with a node's status as JSON; empty: none
  bool json = false;
};

// Tells how a call would be treated: its route, class, deadline and retries,
// and, with the status of a node, which machine it would go to and whether
// the entry or that machine's gate would refuse it. Returns 0, or 2 if the
// call would be refused as not understood.
int RunExplain(const ExplainOptions& options);

}  // namespace almondwind::cli

#endif  // ALMONDWIND_CLI_EXPLAIN_H_
