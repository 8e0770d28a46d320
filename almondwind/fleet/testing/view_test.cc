// Tests of the view of the fleet: order of revisions, delayed removal of
// entries, and the list that peers exchange.

#define BOOST_TEST_MODULE fleet_view
#include "almondwind/fleet/view.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "almondwind/base/outcome.h"
#include "almondwind/fleet/changes_format.h"
#include "almondwind/fleet/outage_detector.h"

namespace almondwind::fleet {

std::ostream& operator<<(std::ostream& out, const Revision& revision) {
  return out << revision.epoch << "/" << revision.number;
}

namespace {

using base::Millis;

// A revision of the first epoch.
Revision At(uint64_t number) { return {1, number}; }

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
  u.revision = At(revision);
  return u;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_older_change_never_replaces_a_newer_one) {
  View view({});
  Millis now(1000);
  view.Replace({Entry("a", 5, true)}, At(6), now);
  BOOST_TEST(!view.Put(Entry("a", 4)));
  BOOST_TEST(view.upstreams().at("a").draining);
  BOOST_TEST(!view.Replace({}, At(3), now));
  BOOST_TEST(view.upstreams().size() == 1U);
  BOOST_TEST(!view.Remove("a", At(4), now));
  BOOST_TEST(view.upstreams().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_announced_its_leaving_goes_at_once) {
  View view({});
  view.Replace({Entry("a", 1, true)}, At(2), Millis(1000));
  view.Remove("a", At(3), Millis(1000));
  BOOST_TEST(view.upstreams().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_vanished_is_held_for_a_moment) {
  View view({});
  view.Replace({Entry("a", 1)}, At(2), Millis(1000));
  view.Remove("a", At(3), Millis(1000));
  BOOST_TEST(!view.Sweep(Millis(1399)));
  BOOST_TEST(view.upstreams().size() == 1U);
  BOOST_TEST(view.List().empty());  // not sent to peers
  BOOST_TEST(view.Sweep(Millis(1400)));
  BOOST_TEST(view.upstreams().empty());
}

// Entries of running upstreams expire in an outage of the store and are
// restored within two seconds of its return. They must be used all that time.
BOOST_AUTO_TEST_CASE(entries_that_lapse_in_an_outage_are_kept_until_back) {
  View view({});
  view.Replace({Entry("a", 1), Entry("b", 1)}, At(2), Millis(1000));
  view.OnStoreReturned(Millis(8000));
  view.Replace({}, At(9), Millis(8010));
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
  view.Replace({old, fresh}, At(3), Millis(1000));
  BOOST_TEST(view.AtAddress("10.0.0.1:80")->id == "new");
  BOOST_TEST(view.AtAddress("10.0.0.2:80") == nullptr);
  BOOST_TEST(view.Current().size() == 1U);
  BOOST_TEST(view.Current()[0]->id == "new");
}

BOOST_AUTO_TEST_CASE(changes_survive_the_way_to_a_peer) {
  Changes changes;
  changes.since = {3, 5};
  changes.revision = {3, 9};
  changes.upstreams = {Entry("a", 7), Entry("b", 8, true)};
  changes.upstreams[1].cold_left = Millis(1234);
  changes.removals = {{"c", {3, 6}}};
  Changes decoded = DecodeChanges(EncodeChanges(changes));
  BOOST_TEST(decoded.since == (Revision{3, 5}));
  BOOST_TEST(decoded.revision == (Revision{3, 9}));
  BOOST_TEST(decoded.upstreams.size() == 2U);
  BOOST_TEST(decoded.upstreams[1].EqualsIgnoringRevision(changes.upstreams[1]));
  BOOST_TEST(decoded.upstreams[1].revision == (Revision{3, 8}));
  BOOST_REQUIRE(decoded.removals.size() == 1U);
  BOOST_TEST(decoded.removals[0].id == "c");
  BOOST_TEST(decoded.removals[0].revision == (Revision{3, 6}));
  BOOST_CHECK_THROW(DecodeChanges("nonsense"), base::Error);
  // An address that cannot be dialed would throw in the middle of an update.
  changes.upstreams[0].address = "nonsense";
  BOOST_CHECK_THROW(DecodeChanges(EncodeChanges(changes)), base::Error);
}

BOOST_AUTO_TEST_CASE(changes_hold_what_a_peer_lacks) {
  View view({});
  view.Replace({Entry("a", 1), Entry("b", 2), Entry("c", 3)}, At(4),
               Millis(1000));
  view.Put(Entry("b", 6, true));
  view.Remove("c", At(7), Millis(1000));
  view.Advance(At(7));
  Changes changes = view.ChangesSince(At(5));
  BOOST_TEST(changes.since == At(5));
  BOOST_REQUIRE(changes.upstreams.size() == 1U);
  BOOST_TEST(changes.upstreams[0].id == "b");
  BOOST_REQUIRE(changes.removals.size() == 1U);
  BOOST_TEST(changes.removals[0].id == "c");
  // What happened before the first list is not known, so all is sent.
  BOOST_TEST(!view.ChangesSince(At(3)).since.known());
  BOOST_TEST(view.ChangesSince(At(0)).upstreams.size() == 2U);
}

// A peer's changes were collected before the store told this node of a later
// removal. They must not bring the upstream back.
BOOST_AUTO_TEST_CASE(late_changes_do_not_bring_back_what_has_left) {
  View peer({});
  View view({});
  peer.Replace({Entry("a", 1)}, At(4), Millis(1000));
  view.Replace({Entry("a", 1)}, At(4), Millis(1000));
  peer.Put(Entry("x", 5, true));
  peer.Advance(At(5));
  Changes late = peer.ChangesSince(At(4));
  view.Put(Entry("x", 5, true));
  view.Remove("x", At(6), Millis(1000));
  view.Advance(At(6));
  BOOST_TEST(!view.Apply(late, Millis(1000)));
  BOOST_TEST(view.upstreams().count("x") == 0U);
  peer.Put(Entry("b", 9));
  peer.Advance(At(9));
  view.Apply(peer.ChangesSince(At(4)), Millis(1000));
  BOOST_TEST(view.upstreams().count("x") == 0U);
  BOOST_TEST(view.upstreams().count("b") == 1U);
  BOOST_TEST(view.revision() == At(9));
}

// Failure: an upstream that had left was used again for good, because the
// store's answer to this node was older than what its peers had told of the
// removal.
BOOST_AUTO_TEST_CASE(a_late_entry_does_not_come_back_after_its_removal) {
  View view({});
  view.Replace({Entry("a", 1), Entry("x", 5, true)}, At(5), Millis(1000));
  // Peers tell of the removal, and of y, which came and went meanwhile.
  Changes changes;
  changes.since = At(5);
  changes.revision = At(8);
  changes.removals = {{"x", At(7)}, {"y", At(8)}};
  view.Apply(changes, Millis(1000));
  BOOST_TEST(!view.Put(Entry("x", 6)));
  BOOST_TEST(!view.Put(Entry("y", 6)));
  BOOST_TEST(view.upstreams().size() == 1U);
  BOOST_TEST(view.Put(Entry("x", 9)));
  BOOST_TEST(view.upstreams().count("x") == 1U);
}

// Failure: a peer kept an upstream for good that came and went between its view
// and a list that the store had to send anew, as the list does not name it.
BOOST_AUTO_TEST_CASE(a_new_list_is_passed_on_whole) {
  View view({});
  View peer({});
  view.Replace({Entry("a", 1)}, At(4), Millis(1000));
  peer.Replace({Entry("a", 1)}, At(4), Millis(1000));
  peer.Put(Entry("y", 6, true));
  peer.Advance(At(6));
  view.Replace({Entry("a", 1)}, At(9), Millis(1000));
  peer.Apply(view.ChangesSince(peer.revision()), Millis(1000));
  BOOST_TEST(peer.revision() == At(9));
  BOOST_TEST(peer.upstreams().count("y") == 0U);
}

BOOST_AUTO_TEST_CASE(changes_with_a_gap_before_them_are_not_applied) {
  View view({});
  view.Replace({Entry("a", 1)}, At(4), Millis(1000));
  Changes changes;
  changes.since = At(6);
  changes.revision = At(8);
  changes.upstreams = {Entry("b", 7)};
  BOOST_TEST(!view.Apply(changes, Millis(1000)));
  BOOST_TEST(view.revision() == At(4));
  BOOST_TEST(view.upstreams().size() == 1U);
}

// An outage is when the store answers no node and fails for readers of several
// zones. It ends with the first answer to any node, whenever this node learns
// of that answer. What one node misses while others are answered is no outage,
// nor is a time without answers in which no reader failed, nor one in which
// this node did not run.
BOOST_AUTO_TEST_CASE(only_a_store_that_answers_nobody_is_away) {
  struct Row {
    int64_t answered_at;
    std::vector<std::string> failing;  // zones, 100 ms before
    bool returned;
  };
  const Row rows[] = {
      {1000, {}, false},  // the first answer: nothing is known of before
      {2300, {}, false},  // the longest time between two in calm
      {2100, {"a", "b"}, false},  // an older one of another node, told late
      {3800, {"a", "b"}, false},  // exactly the limit
      {5301, {"a", "b"}, true},   // no node was answered for longer
      {5200, {"a", "b"}, false},  // a slower reader tells of the same return
      {6500, {}, false},           {8700, {}, false},  // watches were held
      {10'900, {"a"}, false},                          // one zone had trouble
      {13'100, {"a", "a"}, false}, {15'300, {"c", "a"}, true},
      {17'500, {}, false},  // the failures of before do not count again
  };
  OutageDetector detector({});
  detector.SetZones(3);
  for (const Row& row : rows) {
    for (const std::string& zone : row.failing) {
      detector.OnFailing(zone, Millis(row.answered_at - 100));
    }
    BOOST_TEST(detector.OnAnswered(Millis(row.answered_at)) == row.returned,
               row.answered_at);
  }
  detector.OnFailing("a", Millis(19'000));
  detector.OnFailing("b", Millis(19'000));
  detector.OnPaused(Millis(19'600));
  BOOST_TEST(!detector.OnAnswered(Millis(19'700)));
  // Where there is one zone, it decides.
  OutageDetector single({});
  single.SetZones(1);
  BOOST_TEST(!single.OnAnswered(Millis(1000)));
  single.OnFailing("a", Millis(1500));
  BOOST_TEST(single.OnAnswered(Millis(2501)));
  // The delay counts from the return, not from when it became known.
  View view({});
  view.Replace({Entry("a", 1)}, At(4), Millis(1000));
  view.OnStoreReturned(Millis(5301));
  view.Remove("a", At(5), Millis(6400));
  BOOST_TEST(!view.Sweep(Millis(7500)));
  BOOST_TEST(view.Sweep(Millis(7501)));
}

// A chain of views, each fed by the changes of the one before it at random
// times, must end in the store's state and never go back.
BOOST_AUTO_TEST_CASE(changes_in_a_chain_end_in_the_stores_state) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<View> views(4, View(ViewOptions()));
    std::map<std::string, Upstream> store;
    Millis now(1000);
    uint64_t revision = 1;
    views[0].Replace({}, At(revision), now);
    for (int step = 0; step < 800; ++step) {
      now = now + Millis(static_cast<int64_t>(random() % 500));
      std::string id = "u" + std::to_string(random() % 7);
      ++revision;
      if (random() % 3 == 0) {
        store.erase(id);
        views[0].Remove(id, At(revision), now);
      } else {
        store[id] = Entry(id, revision, random() % 4 == 0);
        views[0].Put(store[id]);
      }
      views[0].Advance(At(revision));
      size_t i = 1 + random() % 3;
      Revision before = views[i].revision();
      if (random() % 8 == 0) {
        views[i].Apply(views[i - 1].ChangesSince(before), now);
      }
      BOOST_TEST(views[i].revision() >= before);
      views[i].Sweep(now);
    }
    for (size_t i = 1; i < views.size(); ++i) {
      views[i].Apply(views[i - 1].ChangesSince(views[i].revision()), now);
      views[i].Sweep(now + Millis(5000));
      BOOST_TEST(views[i].revision() == At(revision), "seed " << seed);
      BOOST_TEST(views[i].upstreams().size() == store.size(), "seed " << seed);
      for (const auto& [name, upstream] : store) {
        BOOST_TEST(views[i].upstreams().count(name) == 1U, "seed " << seed);
      }
    }
  }
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
      Revision before = view.revision();
      view.Replace(list, At(at), now);
      BOOST_TEST(view.revision() >= before);
      view.Sweep(now);
    }
    std::vector<Upstream> last;
    for (const auto& [name, upstream] : store) last.push_back(upstream);
    view.Replace(last, At(revision + 1), now);
    view.Sweep(now + Millis(5000));
    BOOST_TEST(view.upstreams().size() == store.size(), "seed " << seed);
    for (const auto& [name, upstream] : store) {
      BOOST_TEST(view.upstreams().count(name) == 1U, "seed " << seed);
    }
  }
}

// Failure: after the store was restored, upstreams that had left were used
// again.
BOOST_AUTO_TEST_CASE(a_restored_list_does_not_undo_departures) {
  struct Row {
    const char* what;
    bool removed;          // or announced as draining
    uint64_t heartbeats;   // in the restored list; the departure came at 5
    int64_t restarted_ms;  // start of the listed incarnation after the known
    bool used;
  };
  const Row rows[] = {
      {"copy from before the announcement", false, 4, 0, false},
      {"copy as old as the announcement", false, 5, 0, false},
      {"ready again since", false, 6, 0, true},
      {"another incarnation", false, 1, 1, true},
      {"copy from before the removal", true, 4, 0, false},
      {"written again since the removal", true, 6, 0, true},
      {"another incarnation after the removal", true, 1, 1, true},
  };
  for (const Row& row : rows) {
    View view({});
    Upstream entry = Entry("a", 5);
    entry.heartbeats = 5;
    entry.draining = true;
    view.Replace({entry, Entry("b", 1)}, At(6), Millis(1000));
    if (row.removed) view.Remove("a", At(7), Millis(1000));
    entry.draining = false;
    entry.heartbeats = row.heartbeats;
    entry.started_at += row.restarted_ms;
    entry.revision = {2, 3};
    Upstream other = Entry("b", 1);
    other.revision = {2, 1};
    view.Replace({entry, other}, {2, 4}, Millis(2000));
    BOOST_TEST(!view.upstreams().at("b").draining, row.what);
    BOOST_TEST(view.upstreams().at("a").draining == !row.used, row.what);
    // Peers get what the store lists.
    for (const Upstream& sent :
         DecodeChanges(EncodeChanges(view.ChangesSince({}))).upstreams) {
      BOOST_TEST(!sent.draining, row.what);
    }
    if (row.used) continue;
    // The store goes on listing it: its entry has not lapsed.
    BOOST_TEST(!view.Sweep(Millis(7999)));
    BOOST_TEST(view.UntilSweep(Millis(7999)).count() == 1);
    BOOST_TEST(view.Sweep(Millis(8000)));
    BOOST_TEST(!view.upstreams().at("a").draining, row.what);
    BOOST_TEST(view.UntilSweep(Millis(8000)).count() < 0);
  }
}

// What a restored store says replaces what it said before, though its revisions
// have gone back.
BOOST_AUTO_TEST_CASE(revisions_are_ordered_by_epoch_first) {
  View view({});
  Millis now(1000);
  view.Replace({Entry("a", 5), Entry("b", 17)}, At(18), now);
  Upstream restored = Entry("a", 5, true);
  restored.revision = {2, 5};
  view.OnStoreReturned(now);
  BOOST_TEST(view.Replace({restored}, {2, 12}, now));
  BOOST_TEST(view.revision() == (Revision{2, 12}));
  BOOST_TEST(view.upstreams().at("a").draining);
  BOOST_TEST(view.removal_pending("b"));
  // News of before are older, whatever their number.
  BOOST_TEST(!view.Put(Entry("a", 30)));
  BOOST_TEST(!view.Replace({Entry("c", 30)}, At(30), now));
  // A peer of before gets the complete list, which it takes.
  View peer({});
  peer.Replace({Entry("a", 5), Entry("b", 17)}, At(18), now);
  Changes changes = view.ChangesSince(peer.revision());
  BOOST_TEST(!changes.since.known());
  BOOST_TEST(peer.Apply(changes, now));
  BOOST_TEST(peer.revision() == (Revision{2, 12}));
  // Changes on top of another epoch than the view's are not applied.
  Changes late;
  late.since = At(18);
  late.revision = {3, 20};
  late.upstreams = {Entry("x", 19)};
  BOOST_TEST(!peer.Apply(late, now));
}

// A chain of views, of which only the first one reads a store that is restored
// from older copies again and again.
BOOST_AUTO_TEST_CASE(a_chain_follows_a_store_that_is_restored) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<View> views(4, View(ViewOptions()));
    std::map<std::string, Upstream> store;
    std::vector<std::pair<uint64_t, std::map<std::string, Upstream>>> copies;
    Revision revision = At(1);
    Millis now(1000);
    views[0].Replace({}, revision, now);
    for (int step = 0; step < 400; ++step) {
      now = now + Millis(static_cast<int64_t>(random() % 500));
      copies.emplace_back(revision.number, store);
      if (random() % 40 == 0) {
        std::tie(revision.number, store) = copies[random() % copies.size()];
        ++revision.epoch;
        std::vector<Upstream> list;
        for (auto& [name, upstream] : store) {
          upstream.revision.epoch = revision.epoch;
          list.push_back(upstream);
        }
        views[0].Replace(list, revision, now);
      }
      ++revision.number;
      std::string id = "u" + std::to_string(random() % 7);
      if (random() % 3 == 0) {
        store.erase(id);
        views[0].Remove(id, revision, now);
      } else {
        store[id] = Entry(id, 0, random() % 4 == 0);
        store[id].revision = revision;
        views[0].Put(store[id]);
      }
      views[0].Advance(revision);
      size_t i = 1 + random() % 3;
      if (random() % 4 == 0) {
        Revision before = views[i].revision();
        views[i].Apply(views[i - 1].ChangesSince(before), now);
        BOOST_TEST(views[i].revision() >= before);
      }
    }
    for (size_t i = 0; i < views.size(); ++i) {
      if (i > 0) {
        views[i].Apply(views[i - 1].ChangesSince(views[i].revision()), now);
      }
      views[i].Sweep(now + Millis(5000));
      BOOST_TEST(views[i].revision() == revision, "seed " << seed);
      BOOST_TEST(views[i].upstreams().size() == store.size(), "seed " << seed);
      for (const auto& [name, upstream] : store) {
        BOOST_TEST(views[i].upstreams().count(name) == 1U, "seed " << seed);
      }
    }
  }
}

}  // namespace almondwind::fleet
