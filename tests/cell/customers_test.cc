// Customers and their keys: who may call, which keys count where, whose job it is.
#include "cell/customers.h"

#include <doctest/doctest.h>
#include <google/protobuf/empty.pb.h>

#include <optional>

#include "cell/config_push.h"
#include "cell/relay.h"
#include "cell/succession.h"
#include "cell_checks.h"
#include "follower_view.h"
#include "outage_store.h"
#include "platform/platform.h"

namespace citronsill {
namespace {

using namespace model;

// A configuration with the customers "a" and "b". Keys of a customer are separated by spaces.
std::string ConfigText(std::uint64_t version, const std::string& keys_of_a,
                       const std::string& keys_of_b = "kb") {
  const auto list = [](const std::string& keys) {
    std::string text;
    for (std::size_t at = 0; at < keys.size();) {
      const std::size_t end = std::min(keys.find(' ', at), keys.size());
      text += (text.empty() ? "\"" : ",\"") + keys.substr(at, end - at) + "\"";
      at = end + 1;
    }
    return "[" + text + "]";
  };
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s"}],"tenants":[)"
         R"({"name":"a","weight":2,"cap":{"cpu":4000},"keys":)" +
         list(keys_of_a) + R"(},{"name":"b","keys":)" + list(keys_of_b) + "}]}";
}

CellConfigPtr Read(const std::string& text) {
  auto config = platform::ReadConfig(text);
  REQUIRE(config);
  return std::move(config).value();
}

// @returns the name of the customer, empty if the call is refused.
std::string CallerOf(const CellConfigPtr& config, const std::string& key) {
  if (!config) return "";
  const Caller caller = FindCaller(*config->customers, "Bearer " + key, false);
  return caller.customer == nullptr ? "" : caller.customer->name;
}

CellConfigPtr Pass(const CellConfig& config) {
  schema::ConfigPush sent;
  REQUIRE(sent.ParseFromString(MakeConfigPush(config).SerializeAsString()));
  auto received = ReadConfigPush(platform::ReadConfig, sent);
  REQUIRE(received);
  return std::move(received).value();
}

// Guards against calls that are served without a key, and against keys that are refused for the
// spelling of the scheme.
TEST_CASE("customers: who calls is told by the key") {
  const CellConfigPtr config = Read(ConfigText(1, "ka ka2"));
  const CustomerDirectory& customers = *config->customers;
  const auto verdict = [&](std::string_view header, bool is_public = false) {
    return FindCaller(customers, header, is_public).verdict;
  };
  CHECK(verdict("") == CallerVerdict::kNoKey);
  CHECK(verdict("Bearer") == CallerVerdict::kNoKey);
  CHECK(verdict("Bearer   ") == CallerVerdict::kNoKey);
  CHECK(verdict("Basic ka") == CallerVerdict::kNoKey);
  CHECK(verdict("ka") == CallerVerdict::kNoKey);
  CHECK(verdict("Bearerka") == CallerVerdict::kNoKey);
  CHECK(verdict("Bearer other") == CallerVerdict::kUnknownKey);
  CHECK(verdict("Bearer KA") == CallerVerdict::kUnknownKey);
  CHECK(verdict("Bearer ka ka2") == CallerVerdict::kUnknownKey);
  CHECK(verdict("Bearer a") == CallerVerdict::kUnknownKey);  // A name is no key.
  for (const char* header : {"Bearer ka", "bearer ka", "BEARER  ka2 "}) {
    CAPTURE(header);
    const Caller caller = FindCaller(customers, header, false);
    CHECK(caller.verdict == CallerVerdict::kAllowed);
    REQUIRE(caller.customer != nullptr);
    CHECK(caller.customer->name == "a");
  }
  CHECK(CallerOf(config, "kb") == "b");
  // A public queue needs no key, but tells whose call it is if there is a known one.
  CHECK(verdict("", true) == CallerVerdict::kAllowed);
  CHECK(FindCaller(customers, "Bearer other", true).customer == nullptr);
  CHECK(FindCaller(customers, "Bearer kb", true).customer->name == "b");
  CHECK(customers.Find("a")->weight == 2.0);
  CHECK(customers.Find("a")->limit.processors_milli == 4000);
}

// Guards against deployments without customers whose calls are refused.
TEST_CASE("customers: without customers, calls need no key") {
  for (const char* tenants : {"", R"(,"tenants":[])", R"(,"tenants":null)"}) {
    CAPTURE(tenants);
    const CellConfigPtr config = Read(std::string(R"({"version":1,"routes":[])") + tenants + "}");
    for (const char* header : {"", "Bearer x"}) {
      const Caller caller = FindCaller(*config->customers, header, false);
      CHECK(caller.verdict == CallerVerdict::kAllowed);
      CHECK(caller.customer == nullptr);
    }
    CHECK(config->text_without_keys.empty());
    CHECK(MakeConfigPush(*config).text() == config->text);
    CHECK(Pass(*config)->customers->IsEmpty());
  }
}

// Guards against customers in a form that cannot be read which open all queues to all callers, or
// take other customers or queues with them.
TEST_CASE("customers: what cannot be read takes nothing else with it") {
  struct Case {
    const char* tenants;
    bool is_kb_known;
    bool is_ka_known;
  };
  const std::string long_name(kMaxCustomerNameBytes + 1, 'n');
  const std::string too_long =
      R"([{"name":")" + long_name + R"(","keys":["ka"]},{"name":"b","keys":["kb"]}])";
  const Case cases[] = {
      {R"([{"name":"b","keys":["kb"]},7,null,"ka",["ka"],{"keys":["ka"]}])", true, false},
      {R"([{"name":5,"keys":["ka"]},{"name":"b","keys":["kb"]}])", true, false},
      {R"([{"name":"","keys":["ka"]},{"name":"b","keys":["kb"]}])", true, false},
      {too_long.c_str(), true, false},
      {R"([{"name":"a","keys":"ka"},{"name":"b","keys":["kb"]}])", true, false},
      {R"([{"name":"a","keys":[7,null,"","ka",{"ka":1}]},{"name":"b","keys":["kb"]}])", true, true},
      {R"([{"name":"b","keys":["kb"]},{"name":"b","keys":["ka"]}])", true, true},
      {R"([{"name":"b","keys":["kb","ka"]},{"name":"a","keys":["ka"]}])", true, true},
      {R"([{"name":"b","keys":["kb"],"weight":-3,"cap":7}])", true, false},
      {R"([{"name":"b","keys":["kb"],"weight":1e308,"cap":{"cpu":-5,"memMb":1e300}}])", true,
       false},
      {R"([7,8])", false, false},
      {R"({"b":{"keys":["kb"]}})", false, false},
      {R"("kb")", false, false},
      {R"(true)", false, false},
  };
  for (const Case& given : cases) {
    CAPTURE(given.tenants);
    const CellConfigPtr config =
        Read(std::string(R"({"version":4,"routes":[{"name":"r","prefix":"/p/"}],"tenants":)") +
             given.tenants + "}");
    CHECK(config->queues.size() == 1);
    // The same after it has been passed on, once and twice.
    for (const CellConfigPtr& read : {config, Pass(*config), Pass(*Pass(*config))}) {
      CHECK(read->customers->NeedsKeys());
      CHECK((CallerOf(read, "kb") == "b") == given.is_kb_known);
      CHECK(!CallerOf(read, "ka").empty() == given.is_ka_known);
      CHECK(FindCaller(*read->customers, "", false).verdict == CallerVerdict::kNoKey);
      if (const Customer* customer = read->customers->Find("b"); customer != nullptr) {
        CHECK(customer->weight >= 0.0);
        CHECK(customer->limit.processors_milli >= 0);
      }
      const std::string sent = MakeConfigPush(*read).SerializeAsString();
      CHECK(sent.find("\"ka\"") == std::string::npos);
      CHECK(sent.find("\"kb\"") == std::string::npos);
    }
  }
}

// Guards against keys in messages between instances.
TEST_CASE("customers: configurations that are passed on have digests and no key") {
  const std::string text = ConfigText(3, "secret-of-a second-of-a", "secret-of-b");
  const CellConfigPtr config = Read(text);
  CellConfigPtr passed = config;
  for (int hop = 0; hop < 3; ++hop) {
    const schema::ConfigPush push = MakeConfigPush(*passed);
    CHECK(push.version() == 3);
    for (const char* key : {"secret-of-a", "second-of-a", "secret-of-b"}) {
      CHECK(push.SerializeAsString().find(key) == std::string::npos);
    }
    passed = Pass(*passed);
    CHECK(passed->version == 3);
    CHECK(CallerOf(passed, "secret-of-a") == "a");
    CHECK(CallerOf(passed, "second-of-a") == "a");
    CHECK(CallerOf(passed, "secret-of-b") == "b");
    CHECK(CallerOf(passed, "other").empty());
    CHECK(passed->customers->Find("a")->weight == 2.0);
    CHECK(passed->customers->Find("a")->limit.processors_milli == 4000);
    CHECK(passed->queues.size() == 1);
  }
}

// Guards against a rolling upgrade in which an instance of the version before, which knows no
// customers, passes a text on whose keys it has dropped: all calls would be refused with 401.
TEST_CASE("customers: a configuration whose keys were lost on the way does not come into force") {
  const CellConfigPtr config = Read(ConfigText(3, "ka"));
  schema::ConfigPush push;
  push.set_version(3);
  push.set_text(MakeConfigPush(*config).text());
  CHECK_FALSE(ReadConfigPush(platform::ReadConfig, push));
  // One that the earlier version read from the store has its keys in the text.
  push.set_text(config->text);
  const auto received = ReadConfigPush(platform::ReadConfig, push);
  REQUIRE(received);
  CHECK(CallerOf(received.value(), "ka") == "a");
  // Damaged digests are no keys.
  push = MakeConfigPush(*config);
  push.mutable_keys(0)->set_digests(0, "short");
  CHECK(CallerOf(ReadConfigPush(platform::ReadConfig, push).value(), "ka").empty());
  // Customers without any key may have none.
  const CellConfigPtr without = Read(ConfigText(3, "", ""));
  CHECK(Pass(*without)->customers->NeedsKeys());
}

// Guards against keys that reach other instances with reads that are relayed for them.
TEST_CASE("customers: the table of the configuration is not relayed") {
  Loop loop(1);
  OutageStore store(loop);
  REQUIRE(Write(store.rows, "secret"));
  RelayedStore relayed(
      &store, [&loop] { return loop.Now(); }, RowRange{"op", "", "", "", 1},
      [] { return std::vector<LinkPtr>{}; });
  struct RecordingLink : Link {
    void Send(schema::LinkMessage) override {}
    void Call(schema::LinkMessage, milliseconds, Reply) override {}
    void Answer(const schema::LinkMessage&, schema::LinkMessage reply) override {
      answer = std::move(reply);
    }
    void Close(const std::string&) override {}
    [[nodiscard]] SteadyTime Heard() const override { return {}; }
    [[nodiscard]] bool IsOpen() const override { return true; }
    [[nodiscard]] const schema::Hello& Peer() const override { return hello; }
    [[nodiscard]] const schema::Ping& LastPing() const override { return ping; }
    schema::Hello hello;
    schema::Ping ping;
    schema::LinkMessage answer;
  };
  const auto link = std::make_shared<RecordingLink>();
  schema::LinkMessage read;
  read.mutable_store()->set_read(true);
  read.mutable_store()->set_table("op");
  read.mutable_store()->set_timeout_ms(1000);
  relayed.Serve(link, read);
  loop.RunFor(milliseconds(100));
  CHECK(link->answer.store_reply().code() == schema::CODE_TABLE_UNAVAILABLE);
  CHECK(link->answer.SerializeAsString().find("secret") == std::string::npos);
  read.mutable_store()->set_table("job");
  relayed.Serve(link, read);
  loop.RunFor(milliseconds(100));
  CHECK(link->answer.store_reply().code() == schema::CODE_OK);
}

// Instances that follow the configuration in a store that may turn each of them away, and pass it
// on over their links to instance 0, the scheduler.
class Instances {
 public:
  explicit Instances(std::uint64_t seed, std::size_t count) : loop(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      m_all.push_back(std::make_unique<Instance>(loop));
      Start(i);
    }
    Ping();
  }

  Loop loop;

  void Put(const std::string& text) {
    for (const auto& instance : m_all) REQUIRE(Write(instance->store.rows, text));
  }
  void SetSilent(std::size_t number, bool is_silent) { m_all[number]->store.SetSilent(is_silent); }
  void SetLatency(std::size_t number, milliseconds latency) {
    m_all[number]->store.latency = latency;
  }
  // Ends the process and starts another one, which knows nothing.
  void Restart(std::size_t number) { Start(number); }
  [[nodiscard]] std::size_t Count() const { return m_all.size(); }
  [[nodiscard]] const CellConfigPtr& Config(std::size_t number) const {
    return m_all[number]->config;
  }
  // @returns the number of instances on which a key counts.
  [[nodiscard]] std::size_t CountWith(const std::string& key) const {
    return static_cast<std::size_t>(std::count_if(
        m_all.begin(), m_all.end(),
        [&](const auto& instance) { return !CallerOf(instance->config, key).empty(); }));
  }
  // Called with the number of an instance whose configuration has changed.
  std::function<void(std::size_t)> on_config = [](std::size_t) {};
  // Whether the links of the scheduler work.
  void LinkScheduler() { m_is_linked = true; }
  void CutScheduler() { m_is_linked = false; }

 private:
  struct Instance {
    explicit Instance(Loop& loop) : store(loop) {}
    OutageStore store;
    std::unique_ptr<RelayedStore> relayed;
    std::unique_ptr<TableFollower> follower;
    std::unique_ptr<ConfigPushes> pushes;
    CellConfigPtr config;
  };

  void Start(std::size_t number) {
    Instance& instance = *m_all[number];
    instance.follower.reset();
    instance.config = nullptr;
    instance.pushes = std::make_unique<ConfigPushes>([this] { return loop.Now(); });
    instance.relayed = std::make_unique<RelayedStore>(
        &instance.store, [this] { return loop.Now(); }, RowRange{"op", "", "", "", 1},
        [] { return std::vector<LinkPtr>{}; });
    FollowerHooks hooks;
    hooks.now = [this] { return loop.Now(); };
    hooks.after = [this](milliseconds delay, std::function<void()> action) {
      loop.After(delay, std::move(action));
    };
    hooks.random = [this] { return static_cast<std::uint32_t>(loop.Between(0, 1 << 30)); };
    hooks.on_change = [this, number](const Row& row) {
      Apply(number, platform::ReadConfig(row.value));
    };
    hooks.on_snapshot = [change = hooks.on_change](const std::vector<Row>& rows) {
      for (const Row& row : rows) change(row);
    };
    instance.follower = TableFollower::Create(instance.relayed.get(), "op", "", std::move(hooks));
  }

  // As `Node` does.
  void Apply(std::size_t number, Result<CellConfigPtr> read) {
    Instance& instance = *m_all[number];
    if (!read || (instance.config && read.value()->version <= instance.config->version)) return;
    instance.config = std::move(read).value();
    instance.pushes->OnChange();
    on_config(number);
  }

  void Ping() {
    for (std::size_t i = 1; i < m_all.size() && m_is_linked; ++i) {
      OnPing(0, i);
      OnPing(i, 0);
    }
    for (const auto& instance : m_all) instance->relayed->Tick();
    loop.After(kUnlistedPingPeriod, [this] { Ping(); });
  }

  // `to` has a ping of `from`, which may get the configuration of `to` for it.
  void OnPing(std::size_t to, std::size_t from) {
    Instance& own = *m_all[to];
    const Instance& peer = *m_all[from];
    const std::uint64_t version = peer.config ? peer.config->version : 0;
    if (!own.config || version >= own.config->version) return;
    const bool may_be_old = version == 0 && !own.relayed->OwnPathWorks();
    const bool is_receiving = peer.follower->Status().is_arriving;
    if (!own.pushes->IsDue(&peer, own.config->version,
                           {peer.relayed->OwnPathWorks(), is_receiving, may_be_old})) {
      return;
    }
    const schema::ConfigPush push = MakeConfigPush(*own.config);
    loop.After(milliseconds(2),
               [this, from, push] { Apply(from, ReadConfigPush(platform::ReadConfig, push)); });
  }

  std::vector<std::unique_ptr<Instance>> m_all;
  bool m_is_linked = true;
};

// Guards against keys that stay in force, or come back, on instances which the store turns away.
TEST_CASE("customers: keys go and come while the store turns a third of the instances away") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Instances instances(seed, 9);
    instances.Put(ConfigText(1, "ka ka2"));
    instances.loop.RunFor(milliseconds(1500));
    REQUIRE(instances.CountWith("ka") == 9);
    // The scheduler is one of those that are turned away in every second schedule.
    const std::size_t first = seed % 2 == 0 ? 0 : 3;
    for (std::size_t i = first; i < first + 3; ++i) instances.SetSilent(i, true);
    instances.loop.RunFor(instances.loop.Delay(0, 5000));
    const bool restarts = seed % 4 < 2;
    // Withdrawn, back, and withdrawn again.
    for (std::uint64_t version = 2; version <= 4; ++version) {
      const bool is_back = version == 3;
      instances.Put(ConfigText(version, is_back ? "ka ka2" : "ka2"));
      if (restarts) instances.Restart(first + 1);
      instances.loop.RunFor(kChangeInForce);
      CHECK(instances.CountWith("ka") == (is_back ? 9 : 0));
      CHECK(instances.CountWith("ka2") == 9);
      CHECK(instances.CountWith("kb") == 9);
      if (restarts) instances.Restart(first + 1);
    }
    for (std::size_t i = first; i < first + 3; ++i) instances.SetSilent(i, false);
    for (int i = 0; i < 100; ++i) {
      instances.loop.RunFor(milliseconds(50));
      CHECK(instances.CountWith("ka") == 0);
    }
    CHECK(instances.CountWith("ka2") == 9);
  }
}

// Guards against keys that are in force long after a silence of the store for all instances, in
// which they were withdrawn.
TEST_CASE("customers: keys are withdrawn while no instance has the store") {
  for (const std::int64_t silence_ms : {500, 3000, 9000, 14000}) {
    CAPTURE(silence_ms);
    Instances instances(static_cast<std::uint64_t>(silence_ms), 6);
    instances.Put(ConfigText(1, "ka"));
    instances.loop.RunFor(milliseconds(1500));
    for (std::size_t i = 0; i < 6; ++i) instances.SetSilent(i, true);
    instances.loop.RunFor(milliseconds(silence_ms / 2));
    instances.Put(ConfigText(2, "", "kb kc"));  // Acknowledged, and seen by nobody.
    instances.Restart(3);
    instances.loop.RunFor(milliseconds(silence_ms / 2));
    CHECK(instances.CountWith("kc") == 0);
    for (std::size_t i = 0; i < 6; ++i) instances.SetSilent(i, false);
    instances.loop.RunFor(kChangeInForce);
    CHECK(instances.CountWith("ka") == 0);
    CHECK(instances.CountWith("kc") == 6);
    instances.Restart(0);
    instances.Restart(4);
    for (int i = 0; i < 40; ++i) {
      instances.loop.RunFor(milliseconds(50));
      CHECK(instances.CountWith("ka") == 0);
    }
    CHECK(instances.CountWith("kb") == 6);
  }
}

// Guards against an instance that starts anew and takes an old configuration, with withdrawn keys,
// from a peer which the store turns away, before it has read the newest one itself.
TEST_CASE("customers: an instance that starts anew does not bring a withdrawn key back") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Instances instances(seed, 2);
    instances.Put(ConfigText(1, "ka"));
    instances.loop.RunFor(milliseconds(1500));
    // The scheduler hears of nothing new; its only peer is down while the key is withdrawn.
    instances.SetSilent(0, true);
    instances.CutScheduler();
    instances.loop.RunFor(milliseconds(6000));
    instances.Put(ConfigText(2, "", "kb"));
    instances.loop.RunFor(instances.loop.Delay(0, 1000));
    int old_ones = 0;
    instances.on_config = [&](std::size_t number) {
      if (number == 1 && instances.Config(1)->version < 2) ++old_ones;
    };
    // Longer than until the first pings.
    instances.SetLatency(1, kUnlistedPingPeriod + milliseconds(200));
    instances.Restart(1);
    instances.LinkScheduler();
    instances.loop.RunFor(milliseconds(3000));
    CHECK(old_ones == 0);
    CHECK(CallerOf(instances.Config(1), "ka").empty());
    CHECK(CallerOf(instances.Config(1), "kb") == "b");
    CHECK(CallerOf(instances.Config(0), "ka").empty());  // Told by its peer.
  }
}

// Guards against an instance without a configuration for the whole of an outage of the store.
TEST_CASE("customers: an instance that starts in an outage of the store gets keys from its peers") {
  Instances instances(1, 3);
  instances.Put(ConfigText(1, "ka"));
  instances.loop.RunFor(milliseconds(1500));
  for (std::size_t i = 0; i < 3; ++i) instances.SetSilent(i, true);
  instances.loop.RunFor(milliseconds(6000));
  instances.Restart(2);
  instances.loop.RunFor(kOldConfigPushAfter + 2 * kUnlistedPingPeriod);
  CHECK(CallerOf(instances.Config(2), "ka") == "a");
}

// ---- Whose job it is

const std::string kJob = "00000000000000a1";

schema::JobSpec MakeJobOf(Cell& cell, const std::string& id, const std::string& customer) {
  schema::JobSpec spec = cell.MakeJob(id, 2, {});
  spec.set_customer(customer);
  return spec;
}

bool MayAccess(Cell& cell, const std::string& id, const std::string& customer) {
  REQUIRE(cell.Leader() != nullptr);
  return cell.Leader()->scheduler->MayAccess(id, customer);
}

// Guards against jobs that any customer may see or cancel, or that a customer loses, when another
// instance has taken the shard over: from rows of their own and from packs.
TEST_CASE("customers: a job keeps its customer over takeovers, also when it has ended") {
  for (const std::size_t entries : {std::size_t{97}, std::size_t{5}}) {
    CAPTURE(entries);
    Cell cell(7, 3, 6, {8000, 8000, 0});
    cell.max_entries = entries;
    cell.loop.RunFor(milliseconds(3000));
    std::vector<std::string> jobs;
    for (int i = 0; i < 12; ++i) {
      jobs.push_back("00000000000000b" + std::string(1, "0123456789ab"[i]));
      cell.Submit(MakeJobOf(cell, jobs.back(), i % 3 == 0 ? "" : i % 3 == 1 ? "a" : "b"));
    }
    schema::JobSpec lasting = MakeJobOf(cell, kJob, "a");
    cell.behaviors[kJob + "0"].duration = milliseconds(60000);
    cell.Submit(lasting);
    cell.loop.RunFor(milliseconds(6000));
    CheckAllEnd(cell, jobs);
    for (int takeover = 0; takeover < 2; ++takeover) {
      CAPTURE(takeover);
      for (std::size_t i = 0; i < jobs.size(); ++i) {
        CAPTURE(i);
        const std::string owner = i % 3 == 0 ? "" : i % 3 == 1 ? "a" : "b";
        CHECK(MayAccess(cell, jobs[i], "a") == (owner.empty() || owner == "a"));
        CHECK(MayAccess(cell, jobs[i], "b") == (owner.empty() || owner == "b"));
        CHECK(MayAccess(cell, jobs[i], ""));  // For calls of instances of the version before.
      }
      CHECK(MayAccess(cell, kJob, "a"));
      CHECK_FALSE(MayAccess(cell, kJob, "b"));
      CHECK(MayAccess(cell, "00000000000000ff", "b"));  // An unknown job is nobody's.
      cell.Leader()->Kill();
      cell.loop.RunFor(milliseconds(4000));
    }
    CheckHistory(cell.history);
    CheckNoRefusals(cell.store);
  }
}

// Guards against rows of the version before, which have no customer, that are not loaded, and
// against jobs that an instance of that version accepts and whose customer gets lost with that.
TEST_CASE("customers: rows and messages of the version before") {
  // A job and a final state without a customer have the bytes that the version before writes.
  schema::JobSpec spec;
  spec.set_id(kJob);
  schema::FinishedRow finished;
  finished.set_state(schema::JOB_STATE_SUCCEEDED);
  finished.set_finished_unix_ms(5);
  const std::string spec_bytes = spec.SerializeAsString();
  const std::string finished_bytes = finished.SerializeAsString();
  spec.set_customer("");
  finished.set_customer("");
  CHECK(spec.SerializeAsString() == spec_bytes);
  CHECK(finished.SerializeAsString() == finished_bytes);
  schema::FinishedRow loaded;
  REQUIRE(loaded.ParseFromString(finished_bytes));
  CHECK(loaded.customer().empty());
  // A scheduler of the version before stores the fields that it does not know with the job.
  spec.set_customer("a");
  google::protobuf::Empty unknown;
  REQUIRE(unknown.ParseFromString(spec.SerializeAsString()));
  schema::JobSpec stored;
  REQUIRE(stored.ParseFromString(unknown.SerializeAsString()));
  CHECK(stored.customer() == "a");
  // An entry of the version before sends no customer: its callers reach all jobs.
  schema::StateCall call;
  call.set_id(kJob);
  schema::StateCall received;
  REQUIRE(received.ParseFromString(call.SerializeAsString()));
  Cell cell(3, 1, 2, {8000, 8000, 0});
  cell.loop.RunFor(milliseconds(3000));
  cell.Submit(MakeJobOf(cell, kJob, "a"));
  cell.loop.RunFor(milliseconds(2000));
  CHECK(MayAccess(cell, kJob, received.customer()));
}

}  // namespace
}  // namespace citronsill
