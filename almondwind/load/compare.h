// `almondwind compare`: reads the reports of a benchmark's runs and prints the
// results of the variants for each case.
//
// A report file is named CASE.VARIANT.RUN.json. The strain is the part of a run
// with a surge or a fault. Recovery time is the time from the end of the strain
// to the start of the first 2 s window whose answered share and 99th percentile
// are within 5% of the worst window before the strain.
#ifndef ALMONDWIND_LOAD_COMPARE_H_
#define ALMONDWIND_LOAD_COMPARE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace almondwind::load {

// Returns the recovery time in seconds, -1 if the run ended before recovery.
double RecoverySeconds(const nlohmann::json& report);

// Prints a Markdown table and writes `folder`/summary.json. Returns 0.
int RunCompare(const std::string& folder);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_COMPARE_H_
