// Tests local views of tables against a store that fails.
#include "cell/follower.h"

#include <doctest/doctest.h>

#include "follower_view.h"
#include "outage_store.h"

namespace citronsill {
namespace {

using namespace model;

// Guards against a read that began during an outage and delays the next one for as long as its
// time-out, which grew with the outage.
TEST_CASE("follower: a change after a silent outage is in force in time, however long the outage") {
  for (int outage_ms = 0; outage_ms <= 30000; outage_ms += 250) {
    for (const int acked_after_ms : {5, 500, 1500}) {
      CAPTURE(outage_ms);
      CAPTURE(acked_after_ms);
      Loop loop(1);
      OutageStore store(loop);
      REQUIRE(Write(store.rows, "old"));
      View view(loop, store);
      loop.RunFor(milliseconds(5300));
      store.SetSilent(true);
      loop.RunFor(milliseconds(outage_ms));
      store.SetSilent(false);
      loop.RunFor(milliseconds(acked_after_ms));
      REQUIRE(Write(store.rows, "new"));
      CHECK(TimeUntil(loop, view, "new", milliseconds(30000)) <= kChangeInForce);
    }
  }
}

// Guards against giving up reads that a slow store would answer.
TEST_CASE("follower: a table is read although each answer of the store takes seconds") {
  for (const int latency_ms : {900, 1500, 4000, 7500}) {
    CAPTURE(latency_ms);
    Loop loop(1);
    OutageStore store(loop);
    store.latency = milliseconds(latency_ms);
    REQUIRE(Write(store.rows, "old"));
    const View view(loop, store);
    CHECK(TimeUntil(loop, view, "old", milliseconds(60000)) < milliseconds(60000));
    CHECK(view.follower->IsLoaded());
  }
}

}  // namespace
}  // namespace citronsill
