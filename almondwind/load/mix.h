// A replayable mix of requests, read from mixes/NAME.toml: kinds with their
// weights, the arrival rate, surges, and faults at set times.
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
  bool order = false;  // under a contract
  int timeout_ms = 1000;
  // Time for which it holds a slot of the bottleneck, at normal speed.
  int bottleneck_ms = 0;
};

// The rate is multiplied by `factor` while the surge lasts.
struct Surge {
  double at_s = 0;
  double for_s = 0;
  double factor = 1;
};

// A request to the stand-ins' admin address at a set time.
struct Fault {
  double at_s = 0;
  std::string target;
};

struct Mix {
  double rate = 100;  // user requests a second
  double seconds = 15;
  int client_retries = 3;   // repeats of a caller after a refusal or silence
  int client_pause_ms = 5;  // before such a repeat
  // When the strain begins and ends; both 0: no strain.
  double strain_from_s = 0;
  double strain_to_s = 0;
  int bottleneck_slots = 0;
  int bottleneck_factor = 1;  // how much slower it is under the strain
  std::vector<RequestKind> kinds;
  std::vector<Surge> surges;
  std::vector<Fault> faults;

  double RateAt(double second) const;
};

// Throws teams::SettingsError.
Mix ReadMix(const std::string& file);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_MIX_H_
