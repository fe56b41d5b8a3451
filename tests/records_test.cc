#include "citronsill/records.h"

#include <doctest/doctest.h>

#include <random>

#include "citronsill/config.h"

#include "schema/citronsill.pb.h"
#include "standin_table.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

// Instances with `Records` over one table, in model time. Messages between them arrive in the next
// step, unless they are lost.
class Cell {
 public:
  struct Member {
    std::string id;
    std::unique_ptr<Records> records;
    std::uint64_t highest_revision = 0;
  };

  explicit Cell(unsigned size, std::uint32_t max_version = kRecordSchemaVersion)
      : max_version(max_version) {
    for (unsigned i = 0; i < size; ++i) Add("i-" + std::to_string(i));
  }

  void Add(const std::string& id) {
    auto member = std::make_shared<Member>();
    member->id = id;
    RecordsOptions options;
    options.instance = id;
    options.max_version = max_version;
    RecordsHooks hooks;
    hooks.fetch = [this](const std::string& address, std::uint64_t above,
                         std::function<void(Result<schema::RecordSet>)> done) {
      SendLater([this, address, above, done] {
        if (auto peer = Find(address)) done(peer->records->RecordsAbove(above));
      });
    };
    hooks.push = [this, id](schema::RecordSet set) {
      set.set_sender_address(id);
      for (const auto& peer : members) {
        if (peer->id == id) continue;
        SendLater([this, set, to = peer->id] {
          if (auto found = Find(to)) found->records->Merge(set, "peer", now);
        });
      }
    };
    hooks.unix_ms = [this] { return now.time_since_epoch() / milliseconds(1); };
    member->records = std::move(Records::Create(table, options, std::move(hooks)).value());
    members.push_back(std::move(member));
  }

  std::shared_ptr<Member> Find(const std::string& id) {
    for (const auto& member : members) {
      if (member->id == id) return member;
    }
    return nullptr;
  }

  schema::ApplyResult Apply(unsigned member, const schema::ApplyRequest& request) {
    schema::ApplyResult result;
    members[member]->records->Apply(request,
                                    [&](const schema::ApplyResult& done) { result = done; });
    return result;
  }

  // Runs 100 ms of model time; each instance hears from `kGossipFanout` random peers every 500 ms.
  void Step() {
    now += milliseconds(100);
    ++steps;
    auto due = std::move(queue);
    queue.clear();
    for (const auto& message : due) message();
    for (const auto& member : members) {
      member->records->Tick(now);
      for (std::size_t i = 0; steps % 5 == 0 && i < kGossipFanout; ++i) {
        const auto& peer = members[random() % members.size()];
        member->records->OnPeerRevision(peer->id, peer->records->Revision().revision(), now);
      }
      const std::uint64_t revision = member->records->Revision().revision();
      CHECK(revision >= member->highest_revision);
      member->highest_revision = revision;
    }
  }

  // Runs until every instance has the revision, at most 60 s. @returns the model time that it took.
  milliseconds TimeToSpread(std::uint64_t revision) {
    const SteadyTime start = now;
    while (true) {
      bool all = true;
      for (const auto& member : members) {
        all = all && member->records->Revision().revision() >= revision;
      }
      if (all || now - start > milliseconds(60000)) {
        return std::chrono::duration_cast<milliseconds>(now - start);
      }
      Step();
    }
  }

  void SendLater(std::function<void()> message) {
    if (random() % 100 < lost_percent) return;
    queue.push_back(std::move(message));
  }

  StandinTable table;
  std::vector<std::shared_ptr<Member>> members;
  std::vector<std::function<void()>> queue;
  std::mt19937 random{7};
  std::uint32_t max_version;
  SteadyTime now{std::chrono::hours(1)};
  unsigned steps = 0;
  unsigned lost_percent = 0;
};

schema::ApplyRequest MakeChange(const std::string& apply_id, std::uint64_t base,
                                const std::string& author, const std::string& record) {
  auto request = ParseApply(R"({"apply_id":")" + apply_id + R"(","author":")" + author +
                            R"(","base_revision":)" + std::to_string(base) + R"(,"records":[)" +
                            record + "]}");
  if (!request) FAIL(Describe(request.error()));
  return request.value();
}

std::string LimitRecord(const std::string& team, unsigned processors) {
  return R"({"schema_version":1,"kind":"limit","name":")" + team +
         R"(","limit":{"quota":{"processors":)" + std::to_string(processors) + "}}}";
}

// @returns the longest model time that one of 260 changes takes to reach all instances.
milliseconds LongestSpread(unsigned seed) {
  Cell cell(8);
  cell.random.seed(seed);
  cell.lost_percent = 30;
  milliseconds longest{0};
  std::uint64_t revision = 0;
  for (unsigned change = 0; change < 260; ++change) {
    const unsigned at = cell.random() % cell.members.size();
    const std::string team = "team-" + std::to_string(change % 24);
    // After an outage, applies are refused until the table was read again.
    cell.table.SetFault(TableFault::kNone);
    for (int i = 0; i < 30; ++i) cell.Step();
    cell.table.SetFault(change % 10 == 3 ? TableFault::kLoseAnswers : TableFault::kNone);
    const auto result = cell.Apply(at, MakeChange("c" + std::to_string(change), revision, "anna",
                                                  LimitRecord(team, change + 1)));
    REQUIRE(result.code() == schema::CODE_OK);
    revision = result.revision();
    // If the instance that applied the change fails at once, only the table has it. During an
    // outage of the table, only the peers have it.
    if (change % 7 == 0) {
      cell.members.erase(cell.members.begin() + at);
      cell.Add("n-" + std::to_string(change));
    } else if (change % 5 == 0) {
      cell.table.SetFault(TableFault::kDown);
    }
    longest = std::max(longest, cell.TimeToSpread(revision));
    for (const auto& member : cell.members) {
      CHECK(member->records->FindLimit(team)->quota().processors() == change + 1);
    }
  }
  CHECK(revision == 260);
  return longest;
}

}  // namespace

// Guards against the silent loss of one of two operators' changes, and against a conflict report
// that does not show both contents.
TEST_CASE("records: of two concurrent changes to a record exactly one is applied") {
  Cell cell(2);
  const auto first = cell.Apply(0, MakeChange("a", 0, "anna", LimitRecord("north", 10)));
  const auto second = cell.Apply(1, MakeChange("b", 0, "ben", LimitRecord("north", 20)));
  CHECK(first.code() == schema::CODE_OK);
  CHECK(second.code() == schema::CODE_CONFLICT);
  REQUIRE(second.differences_size() == 1);
  CHECK(second.differences(0).current() == LimitRecord("north", 10));
  CHECK(second.differences(0).submitted() == LimitRecord("north", 20));
  CHECK(second.differences(0).current_author() == "anna");
  CHECK(second.differences(0).submitted_author() == "ben");
  CHECK(second.differences(0).current_unix_ms() > 0);
  // Changes of different records do not disturb each other.
  CHECK(cell.Apply(1, MakeChange("c", 0, "ben", LimitRecord("south", 20))).code() ==
        schema::CODE_OK);
  // Based on the current revision, the second change succeeds.
  CHECK(cell.Apply(1, MakeChange("d", second.revision(), "ben", LimitRecord("north", 20))).code() ==
        schema::CODE_OK);
}

// Guards against a change that is wrongly reported as accepted or as refused.
TEST_CASE("records: lost answers and outages of the table") {
  Cell cell(2);
  cell.table.SetFault(TableFault::kLoseAnswers);
  const auto lost = cell.Apply(0, MakeChange("a", 0, "anna", LimitRecord("north", 10)));
  CHECK(lost.code() == schema::CODE_OK);
  CHECK(lost.revision() == 1);
  CHECK(cell.table.Writes() == 1);
  cell.table.SetFault(TableFault::kDown);
  const auto refused = cell.Apply(0, MakeChange("b", 1, "anna", LimitRecord("north", 11)));
  CHECK(refused.code() == schema::CODE_TABLE_UNAVAILABLE);
  // Once an outage is known, an apply is refused without a call, until a read succeeds again.
  const std::uint64_t reads = cell.table.Reads();
  cell.table.SetFault(TableFault::kNone);
  CHECK(cell.Apply(0, MakeChange("b", 1, "anna", LimitRecord("north", 11))).code() ==
        schema::CODE_TABLE_UNAVAILABLE);
  CHECK(cell.table.Reads() == reads);
  for (int i = 0; i < 30; ++i) cell.Step();
  // Repeated apply ids: the first change has already taken effect, the refused one takes effect
  // now.
  CHECK(cell.Apply(1, MakeChange("a", 0, "anna", LimitRecord("north", 10))).revision() == 1);
  CHECK(cell.table.Writes() == 1);
  CHECK(cell.Apply(1, MakeChange("b", 1, "anna", LimitRecord("north", 11))).revision() == 2);
  CHECK(cell.members[1]->records->FindLimit("north")->quota().processors() == 11);
}

// Guards against a lost answer that is resolved wrongly when the commit had no effect, or when the
// table goes down before the row can be read again.
TEST_CASE("records: a commit of unknown effect is never reported as not written") {
  struct LossyTable : StandinTable {
    bool effect = true;
    bool down_after = false;
    int losses = 0;
    void Commit(schema::TableTransaction transaction,
                std::function<void(Result<schema::TableCommitResult>)> done) override {
      if (losses-- <= 0) return StandinTable::Commit(std::move(transaction), std::move(done));
      if (effect) {
        StandinTable::Commit(std::move(transaction), [](const auto&) {});
      }
      if (down_after) SetFault(TableFault::kDown);
      done(Error{schema::CODE_COMMIT_UNKNOWN, "the answer was lost"});
    }
  };
  for (const bool effect : {false, true}) {
    for (const bool down_after : {false, true}) {
      LossyTable table;
      table.effect = effect;
      table.down_after = down_after;
      table.losses = 1;
      RecordsOptions options;
      options.instance = "i-0";
      RecordsHooks hooks;
      hooks.unix_ms = [] { return 1; };
      auto records = std::move(Records::Create(table, options, std::move(hooks)).value());
      schema::ApplyResult result;
      const auto request = MakeChange("a", 0, "anna", LimitRecord("north", 10));
      const auto store_result = [&](const schema::ApplyResult& done) { result = done; };
      records->Apply(request, store_result);
      CHECK(result.code() == (down_after ? schema::CODE_COMMIT_UNKNOWN : schema::CODE_OK));
      table.SetFault(TableFault::kNone);
      records->Tick(SteadyTime(std::chrono::hours(1)));
      records->Apply(request, store_result);
      CHECK(result.code() == schema::CODE_OK);
      CHECK(result.revision() == 1);
    }
  }
}

// Guards against changes that take longer than 5 s to spread, or that are undone by instances that
// are replaced, lost pushes, outages of the table, or stale peers.
TEST_CASE("records: 260 changes with replaced instances are in force within 5 s") {
  milliseconds longest{0};
  for (const unsigned seed : {1U, 2U, 3U}) longest = std::max(longest, LongestSpread(seed));
  MESSAGE("longest spread: ", longest.count(), " ms of model time");
  CHECK(longest <= milliseconds(5000));
}

// Guards against old records that return from a peer that was disconnected.
TEST_CASE("records: a stale peer or an old set reverts nothing") {
  Cell cell(2);
  cell.Apply(0, MakeChange("a", 0, "anna", LimitRecord("north", 10)));
  const schema::RecordSet old = cell.members[0]->records->RecordsAbove(0);
  cell.Apply(0, MakeChange("b", 1, "anna", LimitRecord("north", 20)));
  cell.Apply(0, MakeChange("c", 2, "anna", LimitRecord("south", 5)));
  Records& records = *cell.members[0]->records;
  records.Merge(old, "peer", cell.now);
  records.OnPeerRevision("i-1", 1, cell.now);
  CHECK(records.Revision().revision() == 3);
  CHECK(records.FindLimit("north")->quota().processors() == 20);
  // A set that starts above the own revision is not merged as if it were complete.
  Cell other(1);
  other.members[0]->records->Merge(records.RecordsAbove(2), "peer", other.now);
  CHECK(other.members[0]->records->Revision().revision() == 0);
  CHECK_FALSE(other.members[0]->records->FindLimit("south").has_value());
}

// Guards against new instances that consider the records known when they are not, or that never
// become ready during an outage of the table; and against changes that are reported as applied
// although the table was reset to an older state, so that no instance takes them over.
TEST_CASE("records: a new instance learns the records from a peer during an outage") {
  Cell cell(2);
  cell.table.SetFault(TableFault::kDown);
  CHECK(cell.TimeToSpread(1) > milliseconds(5000));
  CHECK_FALSE(cell.members[0]->records->HasCompleteSet());
  CHECK_FALSE(cell.members[1]->records->HasCompleteSet());
  cell.table.SetFault(TableFault::kNone);
  cell.Step();
  cell.TimeToSpread(1);
  CHECK(cell.members[0]->records->HasCompleteSet());
  cell.table.SetFault(TableFault::kDown);
  cell.Add("new");
  cell.TimeToSpread(1);
  CHECK(cell.members[2]->records->HasCompleteSet());

  Cell ahead(1);
  for (const auto& member : {&cell, &ahead}) member->table.SetFault(TableFault::kNone);
  REQUIRE(ahead.Apply(0, MakeChange("a", 0, "anna", LimitRecord("north", 1))).code() ==
          schema::CODE_OK);
  cell.members[0]->records->Merge(ahead.members[0]->records->RecordsAbove(0), "peer", cell.now);
  for (int i = 0; i < 30; ++i) cell.Step();
  const auto refused = cell.Apply(0, MakeChange("b", 1, "anna", LimitRecord("south", 1)));
  CHECK(refused.code() == schema::CODE_TABLE_UNAVAILABLE);
  CHECK(refused.message().find("older revision") != std::string::npos);
  CHECK(cell.table.Writes() == 0);
}

// Guards against a set of records that is too large for a message between instances.
TEST_CASE("records: a large set is fetched in parts") {
  Cell cell(1);
  for (unsigned i = 0; i < 10; ++i) {
    const std::string reason(200'000, 'x');
    const std::string target =
        R"({"schema_version":2,"kind":"target","name":"w)" + std::to_string(i) +
        R"(","target":{"address":"127.0.0.1:1","reason":")" + reason + "\"}}";
    REQUIRE(cell.Apply(0, MakeChange("a" + std::to_string(i), i, "anna", target)).code() ==
            schema::CODE_OK);
  }
  const schema::RecordSet part = cell.members[0]->records->RecordsAbove(0);
  CHECK(part.partial());
  CHECK(part.ByteSizeLong() * 4 / 3 < 1U << 20U);
  cell.table.SetFault(TableFault::kDown);
  cell.Add("new");
  Records& fresh = *cell.members[1]->records;
  fresh.Merge(part, "peer", cell.now);
  CHECK_FALSE(fresh.HasCompleteSet());
  CHECK(cell.TimeToSpread(10) <= milliseconds(5000));
  CHECK(fresh.HasCompleteSet());
  CHECK(fresh.All().size() == 10);
}

// Guards against an old instance that drops what a newer one wrote.
TEST_CASE("records: fields of a newer version survive an older instance") {
  const std::string newer =
      R"({"schema_version":2,"kind":"limit","name":"north","limit":{"quota":{"processors":4},)"
      R"("max_waiting":9}})";
  Cell cell(1);
  REQUIRE(cell.Apply(0, MakeChange("a", 0, "anna", newer)).code() == schema::CODE_OK);
  // Adds a field to the stored row that no build knows.
  schema::StoredRecord stored = cell.members[0]->records->All()[0];
  stored.GetReflection()->MutableUnknownFields(&stored)->AddVarint(1000, 77);
  stored.set_revision(2);
  schema::RecordHead head;
  head.set_revision(2);
  schema::TableTransaction newer_write;
  newer_write.add_writes()->set_key("record-head");
  newer_write.mutable_writes(0)->set_value(head.SerializeAsString());
  newer_write.add_writes()->set_key("record/limit/north");
  newer_write.mutable_writes(1)->set_value(stored.SerializeAsString());
  cell.table.Commit(newer_write, [](const auto&) {});
  cell.TimeToSpread(2);

  cell.max_version = 1;
  cell.Add("old");
  Records& old = *cell.members[1]->records;
  old.Merge(cell.members[0]->records->RecordsAbove(0), "peer", cell.now);
  CHECK(old.FindLimit("north")->quota().processors() == 4);
  CHECK(old.All()[0].content() == newer);
  CHECK(old.RecordsAbove(0).records(0) == stored.SerializeAsString());
  // The old instance writes another record, which does not change the newer one; version 1 stays
  // valid.
  REQUIRE(cell.Apply(1, MakeChange("b", 1, "ben", LimitRecord("south", 1))).code() ==
          schema::CODE_OK);
  CHECK(old.All()[0].content() == newer);
  cell.table.Read("record/limit/north", [&](const Result<schema::TableRow>& row) {
    CHECK(row.value().value() == stored.SerializeAsString());
  });
  // Replacing the newer record by an older version would drop its field.
  CHECK(cell.Apply(1, MakeChange("c", 9, "ben", LimitRecord("north", 1))).code() ==
        schema::CODE_UNKNOWN_VERSION);
  CHECK(ParseRecord(newer, 1).error().code == schema::CODE_UNKNOWN_VERSION);
}

// Guards against invalid records that are accepted.
TEST_CASE("records: faults are refused with their path") {
  const auto refused = [](const std::string& record, schema::Code code, const std::string& text) {
    const auto parsed = ParseRecord(record);
    REQUIRE_FALSE(parsed);
    CAPTURE(Describe(parsed.error()));
    CHECK(parsed.error().code == code);
    CHECK(parsed.error().message.find(text) != std::string::npos);
  };
  refused(R"({"kind":"limit","name":"a","limit":{}})", schema::CODE_UNKNOWN_VERSION, "1 to 2");
  refused(R"({"schema_version":3,"kind":"limit","name":"a","limit":{}})",
          schema::CODE_UNKNOWN_VERSION, "schema_version is 3");
  refused(R"({"schema_version":1,"kind":"limit","name":"a","limit":{"max_waiting":1}})",
          schema::CODE_UNKNOWN_FIELD, "limit.max_waiting");
  refused(R"({"schema_version":1,"kind":"limit","name":"a","limit":{"quotta":1}})",
          schema::CODE_UNKNOWN_FIELD, "limit.quotta");
  refused(R"({"schema_version":1,"kind":"limit","name":"a"})", schema::CODE_INVALID_FIELD, "limit");
  refused(R"({"schema_version":1,"kind":"limits","name":"a"})", schema::CODE_INVALID_FIELD,
          "work_class, limit, target");
  refused(R"({"schema_version":1,"kind":"limit","name":"A/b","limit":{}})",
          schema::CODE_INVALID_FIELD, "name");
  refused(R"({"schema_version":1,"kind":"target","name":"w","target":{"address":"x"}})",
          schema::CODE_INVALID_FIELD, "target.address");
  refused(R"({"schema_version":1,"kind":"work_class","name":"c","work_class":{"idempotent":true}})",
          schema::CODE_INVALID_FIELD, "work_class.default_size.processors");
  CHECK(ParseApply(R"({"apply_id":"a","author":"b","records":[{}]})").error().code ==
        schema::CODE_INVALID_FIELD);
  CHECK(ParseApply("[").error().code == schema::CODE_MALFORMED);
}

// Guards against a dry run that shows other differences than those that are then written, or that
// writes.
TEST_CASE("records: a dry run writes nothing and shows the difference; erasing works") {
  Cell cell(1);
  REQUIRE(cell.Apply(0, MakeChange("a", 0, "anna", LimitRecord("north", 10))).code() ==
          schema::CODE_OK);
  auto request = MakeChange("b", 1, "anna", LimitRecord("north", 12));
  request.set_dry_run(true);
  const auto dry = cell.Apply(0, request);
  CHECK(dry.code() == schema::CODE_OK);
  REQUIRE(dry.differences_size() == 1);
  CHECK(dry.differences(0).current() == LimitRecord("north", 10));
  CHECK(cell.table.Writes() == 1);
  const std::string erase = R"({"schema_version":1,"kind":"limit","name":"north","erase":true})";
  CHECK(cell.Apply(0, MakeChange("c", 1, "anna", erase)).code() == schema::CODE_OK);
  CHECK_FALSE(cell.members[0]->records->FindLimit("north").has_value());
  CHECK(cell.members[0]->records->All().empty());
  // Nothing to change: no write.
  CHECK(cell.Apply(0, MakeChange("d", 2, "anna", erase)).message() == "no change");
  CHECK(cell.table.Writes() == 2);
}

}  // namespace citronsill
