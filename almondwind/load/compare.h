// `almondwind compare`: reads the reports of a bench's runs and prints what
// the variants came to, case by case.
//
// A report's file is named CASE.VARIANT.RUN.json. Recovery time runs from the
// end of the strain to the first moment from which, for 2 s, the answered
// share and the 99th percentile are back within 5% of what they were before.
#ifndef ALMONDWIND_LOAD_COMPARE_H_
#define ALMONDWIND_LOAD_COMPARE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace almondwind::load {

// Seconds until recovery; negative: not within the run.
double RecoverySeconds(const nlohmann::json& report);

// Prints a Markdown table and writes `folder`/summary.json. Returns 0.
int RunCompare(const std::string& folder);

}  // namespace almondwind::load

#endif  // ALMONDWIND_LOAD_COMPARE_H_
