// A reproducible load, read from mixes/NAME.toml: weighted kinds of requests,
// the arrival rate, surges, and faults at fixed times.
#ifndef ALMONDWIND_LOAD_MIX_H_
#define ALMONDWIND_LOAD_MIX_H_

#include <string>
#include <vector>

#include "almondwind/base/outcome.h"

namespace almondwind::load {

struct RequestKind {
  std::string name;
  double weight = 1;
  std::string method = "GET";
  std::string target;  // "/team/service/path"
  base::RequestClass cls = base::RequestClass::kNormal;
  bool order = false;  // sent with a contract
  int timeout_ms = 1000;
  // Time that a request occupies a slot of the bottleneck at normal speed.
  int bottleneck_ms = 0;
};

// Multiplies the arrival rate by `factor` while it lasts.
struct Surge {
  double at_s = 0;
  double for_s = 0;
  double factor = 1;
};

// A request to the stand-ins' admin address at a fixed time, which injects or
// ends a fault.
struct Fault {
  double at_s = 0;
  std::string target;
};

struct Mix {
  double rate = 100;  // user requests per second
  double seconds = 15;
  int client_retries = 3;   // by the caller, after a refusal or no answer
  int client_pause_ms = 5;  // before a retry
  // The strain is the part of the run with a surge or a fault, for which the
  // report computes the bottleneck share and the recovery. Both 0: none.
  double strain_from_s = 0;
  double strain_to_s = 0;
  int bottleneck_slots = 0;   // in total, over all its upstreams
  int bottleneck_factor = 1;  // slowdown of the bottleneck during the strain
  std::vector<RequestKind> kinds;
  std::vector<Surge> surges;
  std::vector<Fault> faults;

  double RateAt(double second) const;
};

// Throws teams::SettingsError if the file cannot be read or is invalid.
Mix ReadMix(const std::string& file);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_MIX_H_
