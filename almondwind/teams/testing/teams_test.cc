// Policies, the configuration store and its relay between nodes.

#define BOOST_TEST_MODULE teams
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>

#include "almondwind/base/outcome.h"
#include "almondwind/teams/knob.h"
#include "almondwind/teams/policy.h"
#include "almondwind/teams/relay.h"
#include "almondwind/teams/store.h"

namespace almondwind::teams {
namespace {

using base::Millis;

// Accepts any value except the text "bad".
struct FakeStoreEvents : public StoreEvents {
  void Apply(const Value& value) override {
    if (value.text == "bad") throw SettingsError(value.path, 1, "bad", "mend");
  }
  void OnRefused(const Value&, const std::string&) override { ++refused; }
  int refused = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(good_policy) {
  TeamPolicy policy = ParseTeamPolicy("addis", R"(
[services.pricing.gate]
queue_high_ms = 25
[[services.pricing.routes]]
name = "price"
method = "POST"
prefix = "/price"
class = "critical"
)");
  const ServicePolicy& pricing = policy.services.at("pricing");
  BOOST_TEST(pricing.gate.max_queue_wait[1].count() == 25);
  BOOST_TEST(pricing.Match("POST", "/price/x")->name == "price");
  BOOST_TEST(pricing.Match("GET", "/price/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(faults_name_line_path_and_remedy) {
  struct Row {
    const char* text;
    uint32_t line;
    const char* path;
    const char* remedy;
  };
  const Row rows[] = {
      {"x = 1\n", 1, "/teams/t.x", "services"},
      {"[services.a.gate]\nlimitr = \"shed\"\n", 2,
       "/teams/t/services/a.gate.limitr", "limiter"},
      {"[services.a.gate]\nlimiter = \"big\"\n", 2,
       "/teams/t/services/a.gate.limiter", "fixed|shed|throughput"},
      {"[services.a.gate]\nramp_ms = -1\n", 2,
       "/teams/t/services/a.gate.ramp_ms", "from 0 to 600000 ms"},
      {"[services.a.gate]\nramp_ms = \"1\"\n", 2,
       "/teams/t/services/a.gate.ramp_ms", "integer"},
      {"[services.a]\ngate = 3\n", 2, "/teams/t/services/a.gate", "[a.table]"},
      {"[services.\"other/a\"]\n", 1, "/teams/t/services/other/a", "own team"},
      {"[[services.a.routes]]\nprefix = \"/\"\n", 1,
       "/teams/t/services/a.routes", "name"},
      {"[services\n", 1, "/teams/t", "TOML"},
  };
  for (const Row& row : rows) {
    try {
      ParseTeamPolicy("t", row.text);
      BOOST_ERROR(row.text);
    } catch (const SettingsError& e) {
      BOOST_TEST(e.path() == row.path);
      BOOST_TEST(e.line() == row.line);
      BOOST_TEST(std::string(e.what()).find(row.remedy) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(versions_only_rise) {
  FakeStoreEvents events;
  Store store(StoreOptions(), events);
  struct Row {
    uint64_t version;
    const char* text;
    OfferResult expected;
  };
  const Row rows[] = {
      {5, "a", OfferResult::kAccepted},  {5, "b", OfferResult::kSame},
      {4, "c", OfferResult::kOlder},     {6, "bad", OfferResult::kRefused},
      {6, "bad", OfferResult::kRefused}, {7, "d", OfferResult::kAccepted},
  };
  for (const Row& row : rows) {
    BOOST_TEST((store.Offer({"/p", row.version, row.text}) == row.expected));
  }
  BOOST_TEST(store.Find("/p")->text == "d");
  BOOST_TEST(events.refused == 1);
}

BOOST_AUTO_TEST_CASE(bad_value_holds_back_no_other) {
  FakeStoreEvents events;
  Store store(StoreOptions(), events);
  store.Offer({"/teams/a", 1, "good"});
  store.Offer({"/teams/a", 2, "bad"});
  BOOST_TEST((store.Offer({"/teams/b", 3, "good"}) == OfferResult::kAccepted));
  BOOST_TEST(store.Find("/teams/a")->version == 1U);
}

BOOST_AUTO_TEST_CASE(bounds_refuse) {
  FakeStoreEvents events;
  StoreOptions options;
  options.paths = 2;
  options.bytes = 10;
  Store store(options, events);
  BOOST_TEST((store.Offer({"/a", 1, "12345"}) == OfferResult::kAccepted));
  BOOST_TEST((store.Offer({"/b", 1, "123456"}) == OfferResult::kRefused));
  BOOST_TEST((store.Offer({"/b", 2, "12345"}) == OfferResult::kAccepted));
  BOOST_TEST((store.Offer({"/c", 1, ""}) == OfferResult::kRefused));
  BOOST_TEST((store.Offer({"/a", 2, "1"}) == OfferResult::kAccepted));
  BOOST_TEST(store.bytes() == 6U);
}

namespace {

// Relays that exchange messages over a lossy channel.
struct Fleet : public ControlChannel {
  struct Member {
    FakeStoreEvents events;
    std::unique_ptr<Store> store;
    std::unique_ptr<Relay> relay;
  };
  explicit Fleet(size_t count) {
    std::vector<zones::HostEntry> hosts(count);
    for (size_t i = 0; i < count; ++i) {
      hosts[i].name = hosts[i].control = std::to_string(i);
      hosts[i].zone = std::to_string(i % 3);
    }
    for (size_t i = 0; i < count; ++i) {
      auto member = std::make_unique<Member>();
      member->store = std::make_unique<Store>(StoreOptions(), member->events);
      RelayOptions options;
      options.host = options.control = hosts[i].name;
      options.zone = hosts[i].zone;
      member->relay =
          std::make_unique<Relay>(options, *member->store, *this, i);
      member->relay->UpdateHosts("s", hosts);
      members.push_back(std::move(member));
    }
  }
  void SendControl(const std::string& address,
                   const std::string& bytes) override {
    if (std::uniform_int_distribution<int>(0, 99)(random) < loss_percent) {
      return;
    }
    wire.emplace_back(std::stoul(address), bytes);
  }
  void Run(int64_t ms) {
    for (int64_t t = 0; t < ms; t += 50) {
      now = now + Millis(50);
      for (auto& member : members) member->relay->Tick(now);
      while (!wire.empty()) {
        auto [to, bytes] = wire.front();
        wire.pop_front();
        members[to]->relay->OnMessage(bytes, now);
      }
    }
  }
  size_t Behind(const std::string& path, uint64_t version) const {
    return static_cast<size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& member) {
          const Value* value = member->store->Find(path);
          return value == nullptr || value->version < version;
        }));
  }

  std::vector<std::unique_ptr<Member>> members;
  std::deque<std::pair<size_t, std::string>> wire;
  std::mt19937 random{5};
  int loss_percent = 0;
  Millis now{0};
};

}  // namespace

BOOST_AUTO_TEST_CASE(relay_reaches_all_in_time_despite_loss) {
  Fleet fleet(200);
  fleet.Run(2000);
  fleet.loss_percent = 20;
  fleet.members[0]->relay->OnPlatform({{"/teams/a", 9, "x"}}, fleet.now);
  fleet.Run(6000);  // requirement: active on all nodes within 6 s
  BOOST_TEST(fleet.Behind("/teams/a", 9) == 0U);
}

BOOST_AUTO_TEST_CASE(older_value_of_a_fresh_node_does_not_spread) {
  Fleet fleet(30);
  for (auto& m : fleet.members) m->store->Offer({"/teams/a", 9, "new"});
  fleet.members[3]->relay->OnPlatform({{"/teams/a", 4, "old"}}, fleet.now);
  fleet.Run(3000);
  BOOST_TEST(fleet.Behind("/teams/a", 9) == 0U);
}

namespace {

size_t Readers(const Fleet& fleet) {
  return static_cast<size_t>(std::count_if(
      fleet.members.begin(), fleet.members.end(), [&](const auto& member) {
        return member->relay->ShouldReadPlatform(fleet.now);
      }));
}

}  // namespace

// Three nodes of each zone read the platform, however many nodes there are: 48
// in 16 zones.
BOOST_AUTO_TEST_CASE(few_nodes_read_the_platform) {
  struct Row {
    size_t nodes;
    size_t readers;
  };
  for (const Row& row : {Row{3, 3}, Row{99, 9}, Row{300, 9}}) {
    Fleet fleet(row.nodes);
    fleet.Run(2000);
    for (auto& m : fleet.members) m->relay->OnPlatform({}, fleet.now);
    BOOST_TEST(Readers(fleet) == row.readers);
  }
}

// In an outage, the nodes start to read the platform one after the other rather
// than all at once.
BOOST_AUTO_TEST_CASE(outage_brings_readers_one_after_the_other) {
  Fleet fleet(300);
  fleet.Run(2000);
  for (auto& m : fleet.members) m->relay->OnPlatform({}, fleet.now);
  fleet.Run(2500);
  BOOST_TEST(Readers(fleet) == 9U);
  fleet.Run(2500);
  size_t after_5_s = Readers(fleet);
  BOOST_TEST(after_5_s > 9U);
  BOOST_TEST(after_5_s < 100U);
}

BOOST_AUTO_TEST_CASE(malformed_control_is_a_typed_error) {
  Fleet fleet(2);
  for (const char* bytes : {"", "x", "\x91\x05", "\xc1"}) {
    BOOST_CHECK_THROW(fleet.members[0]->relay->OnMessage(bytes, fleet.now),
                      base::Error);
  }
}

}  // namespace almondwind::teams
