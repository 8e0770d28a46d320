// Tests of the view of the fleet: order of revisions, delayed removal of
// entries, and the list that peers exchange.

#define BOOST_TEST_MODULE fleet_view
#include "almondwind/fleet/view.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "almondwind/base/outcome.h"
#include "almondwind/fleet/list_format.h"

namespace almondwind::fleet {
namespace {

using base::Millis;

Upstream Entry(const std::string& id, uint64_t revision,
               bool draining = false) {
  Upstream u;
  u.id = id;
  u.service = "s";
  u.address = "10.0.0.1:80";
  u.zone = "z";
  u.slots = 10;
  u.draining = draining;
  u.started_at = 1700000000000;
  u.revision = revision;
  return u;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_older_change_never_replaces_a_newer_one) {
  View view({});
  Millis now(1000);
  view.Replace({Entry("a", 5, true)}, 6, now);
  BOOST_TEST(!view.Put(Entry("a", 4)));
  BOOST_TEST(view.upstreams().at("a").draining);
  BOOST_TEST(!view.Replace({}, 3, now));
  BOOST_TEST(view.upstreams().size() == 1U);
  BOOST_TEST(!view.Remove("a", 4, now));
  BOOST_TEST(view.upstreams().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_announced_its_leaving_goes_at_once) {
  View view({});
  view.Replace({Entry("a", 1, true)}, 2, Millis(1000));
  view.Remove("a", 3, Millis(1000));
  BOOST_TEST(view.upstreams().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_vanished_is_held_for_a_moment) {
  View view({});
  view.Replace({Entry("a", 1)}, 2, Millis(1000));
  view.Remove("a", 3, Millis(1000));
  BOOST_TEST(!view.Sweep(Millis(1900)));
  BOOST_TEST(view.upstreams().size() == 1U);
  BOOST_TEST(view.List().empty());  // not sent to peers
  BOOST_TEST(view.Sweep(Millis(2001)));
  BOOST_TEST(view.upstreams().empty());
}

// Entries of running upstreams expire in an outage of the store and are
// restored within two seconds of its return. They must be used all that time.
BOOST_AUTO_TEST_CASE(entries_that_lapse_in_an_outage_are_kept_until_back) {
  View view({});
  view.Replace({Entry("a", 1), Entry("b", 1)}, 2, Millis(1000));
  view.OnStoreReturned(Millis(8000));
  view.Replace({}, 9, Millis(8010));
  BOOST_TEST(!view.Sweep(Millis(10'100)));
  view.Put(Entry("a", 10));
  BOOST_TEST(view.Sweep(Millis(10'300)));
  BOOST_TEST(view.upstreams().size() == 1U);
  BOOST_TEST(view.upstreams().count("a") == 1U);
}

BOOST_AUTO_TEST_CASE(of_two_at_one_address_the_later_start_counts) {
  View view({});
  Upstream old = Entry("old", 1);
  Upstream fresh = Entry("new", 2);
  fresh.started_at = old.started_at + 5000;
  view.Replace({old, fresh}, 3, Millis(1000));
  BOOST_TEST(view.AtAddress("10.0.0.1:80")->id == "new");
  BOOST_TEST(view.AtAddress("10.0.0.2:80") == nullptr);
  BOOST_TEST(view.Current().size() == 1U);
  BOOST_TEST(view.Current()[0]->id == "new");
}

BOOST_AUTO_TEST_CASE(a_list_survives_the_way_to_a_peer) {
  std::vector<Upstream> list = {Entry("a", 7), Entry("b", 8, true)};
  list[1].cold_left = Millis(1234);
  std::vector<Upstream> decoded = DecodeList(EncodeList(list));
  BOOST_TEST(decoded.size() == 2U);
  BOOST_TEST(decoded[1].EqualsIgnoringRevision(list[1]));
  BOOST_TEST(decoded[1].revision == 8U);
  BOOST_CHECK_THROW(DecodeList("nonsense"), base::Error);
}

// Lists of any age arrive in random order, as from peers, while the store
// changes. The revision must never decrease, and after a list at the newest
// revision the view must hold the entries of the store.
BOOST_AUTO_TEST_CASE(any_order_of_news_ends_in_the_stores_state) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    View view({});
    std::map<std::string, Upstream> store;
    std::vector<std::pair<uint64_t, std::map<std::string, Upstream>>> history;
    Millis now(1000);
    uint64_t revision = 1;
    for (int step = 0; step < 60; ++step) {
      now = now + Millis(static_cast<int64_t>(random() % 500));
      std::string id = "u" + std::to_string(random() % 5);
      ++revision;
      if (random() % 3 == 0) {
        store.erase(id);
      } else {
        store[id] = Entry(id, revision, random() % 4 == 0);
      }
      history.emplace_back(revision, store);
      const auto& [at, state] = history[random() % history.size()];
      std::vector<Upstream> list;
      for (const auto& [name, upstream] : state) list.push_back(upstream);
      uint64_t before = view.revision();
      view.Replace(list, at, now);
      BOOST_TEST(view.revision() >= before);
      view.Sweep(now);
    }
    std::vector<Upstream> last;
    for (const auto& [name, upstream] : store) last.push_back(upstream);
    view.Replace(last, revision + 1, now);
    view.Sweep(now + Millis(5000));
    BOOST_TEST(view.upstreams().size() == store.size(), "seed " << seed);
    for (const auto& [name, upstream] : store) {
      BOOST_TEST(view.upstreams().count(name) == 1U, "seed " << seed);
    }
  }
}

}  // namespace almondwind::fleet
