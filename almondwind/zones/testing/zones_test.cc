// Tests of the subsets, load balancing, ejection and recovery of machines, and
// of the congestion window.

#define BOOST_TEST_MODULE zones
#include <boost/test/unit_test.hpp>
#include <set>

#include "almondwind/zones/directory.h"
#include "almondwind/zones/picker.h"
#include "almondwind/zones/window.h"

namespace almondwind::zones {
namespace {

using base::Millis;
using base::RequestClass;

std::vector<HostEntry> Hosts(size_t count, size_t zones) {
  std::vector<HostEntry> hosts;
  for (size_t i = 0; i < count; ++i) {
    HostEntry host;
    host.name = "m" + std::to_string(i);
    host.zone = "z" + std::to_string(i % zones);
    host.region = "r";
    host.link = "127.0.0.1:" + std::to_string(1000 + i);
    hosts.push_back(host);
  }
  return hosts;
}

DirectoryOptions OptionsOf(const std::string& host) {
  DirectoryOptions options;
  options.host = host;
  options.zone = "z0";
  options.region = "r";
  return options;
}

links::Load LoadOf(uint32_t in_progress, uint32_t wait_ms,
                   uint32_t service_ms) {
  links::Load load;
  load.in_progress = in_progress;
  load.limit = 10;
  load.service_ms = service_ms;
  load.wait_ms.fill(wait_ms);
  return load;
}

}  // namespace

BOOST_AUTO_TEST_CASE(subset_is_bounded_and_zone_first) {
  Directory directory(OptionsOf("me"));
  directory.Update("t/s", Hosts(600, 3));
  size_t own = 0;
  for (const MachinePtr& m : directory.Find("t/s")) {
    own += m->entry().zone == "z0";
  }
  BOOST_TEST(directory.Find("t/s").size() == 12U);
  BOOST_TEST(own == 8U);
}

BOOST_AUTO_TEST_CASE(subset_uses_other_zones_when_the_own_has_few) {
  Directory directory(OptionsOf("me"));
  std::vector<HostEntry> hosts = Hosts(40, 2);
  for (size_t i = 2; i < hosts.size(); i += 2) hosts[i].zone = "z1";
  directory.Update("t/s", hosts);
  BOOST_TEST(directory.Find("t/s").size() == 12U);
}

BOOST_AUTO_TEST_CASE(subsets_spread_over_all_machines) {
  std::map<std::string, int> chosen;
  for (int node = 0; node < 400; ++node) {
    Directory directory(OptionsOf("node" + std::to_string(node)));
    directory.Update("t/s", Hosts(60, 1));
    for (const MachinePtr& m : directory.Find("t/s")) ++chosen[m->name()];
  }
  // 400 nodes x 12 places / 60 machines = 80 each, if spread evenly.
  BOOST_TEST(chosen.size() == 60U);
  for (const auto& [name, count] : chosen) {
    BOOST_TEST(count > 40);
    BOOST_TEST(count < 130);
  }
}

BOOST_AUTO_TEST_CASE(machine_keeps_its_state_over_an_update) {
  Directory directory(OptionsOf("me"));
  directory.Update("t/s", Hosts(3, 1));
  Machine* machine = directory.FindHost("m1");
  machine->OnSent(Millis(0));
  directory.Update("t/s", Hosts(5, 1));
  BOOST_TEST(directory.FindHost("m1") == machine);
  BOOST_TEST(machine->outstanding() == 1);
}

BOOST_AUTO_TEST_CASE(host_outside_the_subset_is_reached_for_a_contract) {
  Directory directory(OptionsOf("me"));
  directory.Update("t/s", Hosts(100, 1));
  size_t reached = 0;
  for (const HostEntry& host : Hosts(100, 1)) {
    reached += directory.FindPublished(host.name) != nullptr;
  }
  BOOST_TEST(reached == 12U + 64U);  // subset + max_extra
  BOOST_TEST(directory.FindPublished("nobody") == nullptr);
  // A host that is no longer published is not found.
  directory.Update("t/s", Hosts(12, 1));
  BOOST_TEST(directory.FindPublished("m99") == nullptr);
}

BOOST_AUTO_TEST_CASE(ejection_and_careful_return) {
  Machine machine(Hosts(1, 1)[0]);
  EjectOptions options;
  for (int i = 0; i < options.failures; ++i) {
    BOOST_TEST(machine.Usable(Millis(0), options));
    machine.OnSent(Millis(0));
    machine.OnFailure(Millis(0), options, 0);
  }
  BOOST_TEST(!machine.Usable(Millis(499), options));
  // Half-open: one call at a time until one is answered.
  BOOST_TEST(machine.Usable(Millis(500), options));
  machine.OnSent(Millis(500));
  BOOST_TEST(!machine.Usable(Millis(500), options));
  machine.OnAnswer(LoadOf(0, 0, 10), true, Millis(510), options, 0);
  machine.OnSent(Millis(510));
  machine.OnSent(Millis(510));
  BOOST_TEST(machine.Usable(Millis(510), options));
}

BOOST_AUTO_TEST_CASE(failing_fast_does_not_attract) {
  Machine machine(Hosts(1, 1)[0]);
  EjectOptions options;
  for (int i = 0; i < options.failures; ++i) {
    machine.OnSent(Millis(i));
    machine.OnAnswer(LoadOf(0, 0, 0), false, Millis(i), options, 0);
  }
  BOOST_TEST(!machine.Usable(Millis(10), options));
}

BOOST_AUTO_TEST_CASE(silence_makes_a_machine_doubtful) {
  Machine machine(Hosts(1, 1)[0]);
  EjectOptions options;
  machine.OnSent(Millis(1000));
  BOOST_TEST(machine.Usable(Millis(1200), options));
  BOOST_TEST(!machine.Usable(Millis(1251), options));
}

BOOST_AUTO_TEST_CASE(least_wait_prefers) {
  struct Row {
    const char* what;
    links::Load near;
    links::Load far;
    const char* expected;
  };
  const Row rows[] = {
      {"equal load: own zone", LoadOf(2, 0, 10), LoadOf(2, 0, 10), "m0"},
      {"a long wait outweighs the zone penalty", LoadOf(10, 30, 10),
       LoadOf(2, 0, 10), "m1"},
      {"a much faster machine outweighs the zone penalty", LoadOf(2, 0, 40),
       LoadOf(2, 0, 10), "m1"},
      {"a wait in the other zone: own zone", LoadOf(2, 0, 10), LoadOf(2, 5, 10),
       "m0"},
  };
  Random random(1);
  auto picker = MakePicker("least_wait");
  for (const Row& row : rows) {
    Machine near(Hosts(2, 2)[0]);
    Machine far(Hosts(2, 2)[1]);
    near.OnAnswer(row.near, true, Millis(0), EjectOptions(), 0);
    far.OnAnswer(row.far, true, Millis(0), EjectOptions(), 0);
    PickContext context;
    context.zone = "z0";
    context.region = "r";
    Machine* chosen = picker->Pick({&near, &far}, context, random);
    BOOST_TEST_INFO(row.what);
    BOOST_TEST(chosen->name() == row.expected);
  }
}

BOOST_AUTO_TEST_CASE(window_closes_and_opens) {
  WindowOptions options;
  Window window(options);
  int entered = 0;
  while (window.Enter(RequestClass::kHigh)) ++entered;
  BOOST_TEST(entered == 64);
  BOOST_TEST(window.Enter(RequestClass::kCritical));
  for (int i = 0; i < 20; ++i) {
    window.Leave(/*refused_below=*/true, Millis(50), Millis(100) * i);
  }
  double closed = window.size();
  BOOST_TEST(closed < 20);
  for (int i = 0; i < 200; ++i) {
    while (window.Enter(RequestClass::kHigh)) continue;
    window.Leave(false, Millis(0), Millis(5000));
  }
  BOOST_TEST(window.size() > 100);
}

BOOST_AUTO_TEST_CASE(window_settles_where_the_wait_is_the_target) {
  // A chain whose queue wait is 2 ms for each request beyond 20.
  Window window(WindowOptions{});
  for (int i = 0; i < 5000; ++i) {
    while (window.Enter(RequestClass::kHigh)) continue;
    int wait = std::max(0, 2 * (window.in_progress() - 20));
    window.Leave(false, Millis(wait), Millis(i));
  }
  BOOST_TEST(window.in_progress() > 22);
  BOOST_TEST(window.in_progress() < 34);
}

BOOST_AUTO_TEST_CASE(closed_window_lets_one_try) {
  WindowOptions options;
  options.start = 1;
  Window window(options);
  BOOST_TEST(window.Enter(RequestClass::kBackground));
  BOOST_TEST(!window.Enter(RequestClass::kNormal));
}

}  // namespace almondwind::zones
