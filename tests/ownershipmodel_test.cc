// Model checking: explores every order of events in a small cell of real `OwnershipCore` objects.
#include <doctest/doctest.h>

#include <cstdlib>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "citronsill/ownershipcore.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;
using Kind = OwnershipCommand::Kind;

// The safety check that a run disables, to show that the model detects its absence.
enum class DisabledCheck { kNothing, kVersionCondition, kWorkerCheck, kPauseCheck };

struct Limits {
  unsigned instances = 2;
  unsigned steps = 8;   // Time steps.
  unsigned pauses = 1;  // Pauses, of all instances together.
  unsigned losses = 1;  // Writes that take effect, but whose answers are lost.
  // Writes that reach the table after their sender has given up on them.
  unsigned abandoned_writes = 1;
  unsigned outages = 0;  // Outages of the table.
  std::size_t max_states = 2000000;
};

struct Start {
  unsigned from = 0;
  std::uint64_t epoch = 0;
  auto operator<=>(const Start&) const = default;
};

// An answer that an instance has yet to receive, and its text for comparing states.
struct PendingAnswer {
  std::function<void(OwnershipCore&, SteadyTime)> deliver;
  std::string text;
};

struct Member {
  OwnershipCore core;
  bool paused = false;
  SteadyTime last_tick;
  std::deque<OwnershipCommand> sent;          // Commands that have not reached the table yet.
  std::deque<PendingAnswer> pending_answers;  // Answers of the table while the instance was paused.
  std::uint64_t attached = 0;                 // Epoch of its last attach to the worker.
};

// State of the model: the instances, one worker, one partition and the table.
struct State {
  SteadyTime now;
  std::vector<Member> members;
  std::map<std::string, InstanceRecord> instance_rows;
  PartitionRecord row;
  std::uint64_t last_version = 0;
  // Writes in transit, given up by their sender.
  std::vector<std::pair<unsigned, OwnershipCommand>> abandoned;
  std::vector<Start> starts;  // Starts in transit to the worker.
  std::uint64_t worker_epoch = 0;
  // Instances that the row named as owner, by epoch.
  std::map<std::uint64_t, std::set<unsigned>> owners_by_epoch;
  unsigned pauses = 0;
  unsigned losses = 0;
  unsigned abandoned_count = 0;
  unsigned steps = 0;
  bool down = false;
  unsigned outages = 0;
  std::string violation;
};

std::string Id(unsigned i) { return std::string(1, static_cast<char>('a' + i)); }

class Model {
 public:
  Model(const Limits& limits, DisabledCheck disabled) : m_limits(limits), m_disabled(disabled) {
    m_options.partition_count = 1;
    m_options.owner_timeout = milliseconds(2000);
    m_options.heartbeat_period = milliseconds(1000);
    m_options.watch_period = milliseconds(1000);
    m_options.watch_silence = milliseconds(0);
    m_options.scan_period = milliseconds(4000);
    m_options.pause_threshold = milliseconds(1000);
    m_options.max_answer_age = milliseconds(1000);
    m_options.rebalance_delay = milliseconds(0);
    m_options.startup_delay = milliseconds(0);
    if (disabled == DisabledCheck::kPauseCheck) m_options.pause_threshold = std::chrono::hours(1);
    if (disabled == DisabledCheck::kPauseCheck) m_options.max_answer_age = std::chrono::hours(1);
  }

  /// @returns the first violation, or "".
  std::string Explore() {
    std::deque<State> frontier{Initial()};
    std::unordered_set<std::string> seen{ToText(frontier.front())};
    while (!frontier.empty() && seen.size() < m_limits.max_states) {
      const State state = std::move(frontier.front());
      frontier.pop_front();
      for (State& next : Successors(state)) {
        ++transitions;
        if (!next.violation.empty()) return next.violation;
        if (seen.insert(ToText(next)).second) frontier.push_back(std::move(next));
      }
    }
    states = seen.size();
    complete = frontier.empty();
    return "";
  }

  std::size_t states = 0;
  std::size_t transitions = 0;
  std::size_t stale_rejected = 0;  // Starts that the worker rejected; shows that they occur.
  bool complete = false;

 private:
  State Initial() const {
    State state;
    state.now = SteadyTime(std::chrono::hours(1));
    for (unsigned i = 0; i < m_limits.instances; ++i) {
      state.members.push_back(
          {OwnershipCore(Id(i), i + 1, m_options), false, state.now, {}, {}, 0});
    }
    return state;
  }

  std::vector<State> Successors(const State& state) {
    std::vector<State> next;
    const auto add = [&](State copy) {
      Check(copy);
      next.push_back(std::move(copy));
    };
    bool may_advance = state.steps < m_limits.steps;
    for (unsigned i = 0; i < state.members.size(); ++i) {
      const Member& member = state.members[i];
      if (!member.sent.empty()) {
        AddCommandSteps(state, i, add);
        may_advance = may_advance && member.paused;
      }
      if (!member.pending_answers.empty() && !member.paused) add(GiveAnswer(state, i));
      if (!member.paused && state.pauses < m_limits.pauses) add(Pause(state, i));
      if (member.paused) add(Resume(state, i));
      if (!member.paused) AddWorkerCalls(state, i, add);
    }
    for (std::size_t i = 0; i < state.abandoned.size(); ++i) add(ArriveAbandoned(state, i));
    for (std::size_t i = 0; i < state.starts.size(); ++i) add(ArriveStart(state, i));
    if (may_advance) AddAdvances(state, add);
    if (state.down || state.outages < m_limits.outages) add(ToggleTable(state));
    return next;
  }

  template <class Add>
  void AddAdvances(const State& state, Add add) const {
    add(Advance(state, std::nullopt));
    if (state.pauses >= m_limits.pauses) return;
    for (unsigned i = 0; i < state.members.size(); ++i) {
      if (!state.members[i].paused) add(Advance(state, i));
    }
  }

  // Adds the possible outcomes of the first command of an instance. Commands of a paused instance
  // are in transit and may reach the table, but their answers wait.
  template <class Add>
  void AddCommandSteps(const State& state, unsigned i, Add add) const {
    const Member& member = state.members[i];
    const bool write = member.sent.front().kind == Kind::kWrite;
    add(Deliver(state, i, false));
    if (!write || member.paused) return;
    if (state.losses < m_limits.losses && !state.down) add(Deliver(state, i, true));
    if (state.abandoned_count < m_limits.abandoned_writes) add(AbandonWrite(state, i));
  }

  // The owner attaches to the worker before it sends starts. A start may arrive much later.
  template <class Add>
  void AddWorkerCalls(const State& state, unsigned i, Add add) {
    const auto epoch = state.members[i].core.OwnedEpoch(0, state.now);
    if (!epoch) return;
    if (state.members[i].attached != *epoch) {
      State copy = state;
      if (Accepts(copy, *epoch)) {
        copy.worker_epoch = std::max(copy.worker_epoch, *epoch);
        copy.members[i].attached = *epoch;
        add(std::move(copy));
      }
      return;
    }
    const Start start{i, *epoch};
    if (std::count(state.starts.begin(), state.starts.end(), start) != 0) return;
    State copy = state;
    copy.starts.push_back(start);
    add(std::move(copy));
  }

  [[nodiscard]] bool Accepts(const State& state, std::uint64_t epoch) const {
    return m_disabled == DisabledCheck::kWorkerCheck || epoch >= state.worker_epoch;
  }

  State ArriveStart(State state, std::size_t index) {
    const Start start = state.starts[index];
    state.starts.erase(state.starts.begin() + static_cast<std::ptrdiff_t>(index));
    if (!Accepts(state, start.epoch)) {
      ++stale_rejected;
      return state;
    }
    if (state.owners_by_epoch[state.worker_epoch] != std::set<unsigned>{start.from}) {
      state.violation = "a start of " + Id(start.from) + " was accepted under epoch " +
                        std::to_string(start.epoch) + ", the worker has seen " +
                        std::to_string(state.worker_epoch);
    }
    return state;
  }

  void Check(State& state) const {
    std::map<std::uint64_t, unsigned> owners;
    for (const Member& member : state.members) {
      const auto epoch = member.core.OwnedEpoch(0, state.now);
      if (epoch && ++owners[*epoch] > 1) {
        state.violation = "two instances claim ownership under epoch " + std::to_string(*epoch);
      }
    }
  }

  // The first command reaches the table, and its answer arrives unless it is lost.
  State Deliver(State state, unsigned i, bool lose) const {
    Member& member = state.members[i];
    const OwnershipCommand command = member.sent.front();
    member.sent.pop_front();
    PendingAnswer answer{Execute(state, i, command, lose), ToText(command, state.now)};
    answer.text += state.row.owner + std::to_string(state.row.version);
    if (lose) ++state.losses;
    if (member.paused) {
      member.pending_answers.push_back(std::move(answer));
    } else {
      answer.deliver(member.core, state.now);
      member.core.TakeEvents();
    }
    return state;
  }

  static State GiveAnswer(State state, unsigned i) {
    Member& member = state.members[i];
    const PendingAnswer answer = member.pending_answers.front();
    member.pending_answers.pop_front();
    answer.deliver(member.core, state.now);
    member.core.TakeEvents();
    return state;
  }

  // @returns a function that passes the answer to the instance.
  std::function<void(OwnershipCore&, SteadyTime)> Execute(State& state, unsigned i,
                                                          const OwnershipCommand& command,
                                                          bool lose) const {
    if (state.down) {
      return [command](OwnershipCore& core, SteadyTime now) { Refuse(core, command, now); };
    }
    if (command.kind == Kind::kWrite || command.kind == Kind::kHeartbeat) {
      return Commit(state, i, command, lose);
    }
    if (command.kind == Kind::kScan) {
      std::map<std::uint32_t, PartitionRecord> rows;
      if (state.row.version != 0) rows[0] = state.row;
      return [command, rows, all = state.instance_rows](OwnershipCore& core, SteadyTime now) {
        core.OnScan(command, all, rows, now);
      };
    }
    if (command.kind == Kind::kReadPartition) {
      return [command, row = state.row](OwnershipCore& core, SteadyTime now) {
        core.OnPartition(command, row, now);
      };
    }
    return [command, row = FindInstance(state, command.instance)](
               OwnershipCore& core, SteadyTime now) { core.OnInstance(command, row, now); };
  }

  static void Refuse(OwnershipCore& core, const OwnershipCommand& command, SteadyTime now) {
    if (command.kind == Kind::kWrite) {
      core.OnWrite(command, CommitOutcome::kRefused, {}, {}, now);
    } else if (command.kind == Kind::kHeartbeat) {
      core.OnHeartbeat(command, CommitOutcome::kRefused, {}, now);
    } else {
      core.OnFailed(command);
    }
  }

  static InstanceRecord FindInstance(const State& state, const std::string& id) {
    const auto found = state.instance_rows.find(id);
    return found == state.instance_rows.end() ? InstanceRecord{} : found->second;
  }

  std::function<void(OwnershipCore&, SteadyTime)> Commit(State& state, unsigned i,
                                                         const OwnershipCommand& command,
                                                         bool lose) const {
    const bool applied = Apply(state, i, command);
    const CommitOutcome outcome = lose      ? CommitOutcome::kUnknown
                                  : applied ? CommitOutcome::kCommitted
                                            : CommitOutcome::kConflict;
    if (command.kind == Kind::kHeartbeat) {
      return [command, outcome, row = FindInstance(state, Id(i))](OwnershipCore& core,
                                                                  SteadyTime now) {
        core.OnHeartbeat(command, outcome, row, now);
      };
    }
    std::optional<PartitionRecord> row;
    std::optional<InstanceRecord> observed;
    if (!lose && (applied || state.row.version != command.row.version)) row = state.row;
    if (!lose && !applied && command.instance_version &&
        FindInstance(state, command.instance).version != *command.instance_version) {
      observed = FindInstance(state, command.instance);
    }
    return [command, outcome, row, observed](OwnershipCore& core, SteadyTime now) {
      core.OnWrite(command, outcome, row, observed, now);
    };
  }

  bool Apply(State& state, unsigned i, const OwnershipCommand& command) const {
    if (command.kind == Kind::kHeartbeat) {
      if (FindInstance(state, Id(i)).version != *command.instance_version) return false;
      state.instance_rows[Id(i)] = {++state.last_version, i + 1};
      return true;
    }
    if (m_disabled != DisabledCheck::kVersionCondition) {
      if (state.row.version != command.row.version) return false;
      if (command.instance_version &&
          FindInstance(state, command.instance).version != *command.instance_version) {
        return false;
      }
    }
    state.row = command.row;
    state.row.version = ++state.last_version;
    state.owners_by_epoch[state.row.epoch].insert(static_cast<unsigned>(state.row.owner[0] - 'a'));
    return true;
  }

  // The sender gives up on a commit that is still in transit.
  State AbandonWrite(State state, unsigned i) const {
    const OwnershipCommand command = state.members[i].sent.front();
    state.members[i].sent.pop_front();
    state.abandoned.emplace_back(i, command);
    ++state.abandoned_count;
    state.members[i].core.OnWrite(command, CommitOutcome::kUnknown, {}, {}, state.now);
    state.members[i].core.TakeEvents();
    return state;
  }

  State ArriveAbandoned(State state, std::size_t index) const {
    const auto [i, command] = state.abandoned[index];
    state.abandoned.erase(state.abandoned.begin() + static_cast<std::ptrdiff_t>(index));
    if (!state.down) Apply(state, i, command);
    return state;
  }

  static State Pause(State state, unsigned i) {
    state.members[i].paused = true;
    ++state.pauses;
    return state;
  }

  State Resume(State state, unsigned i) const {
    Member& member = state.members[i];
    member.paused = false;
    if (state.now - member.last_tick > milliseconds(1000) && member.core.OwnedEpoch(0, state.now)) {
      state.violation = Id(i) + " claims ownership right after a pause";
    }
    return state;
  }

  static State ToggleTable(State state) {
    state.outages += state.down ? 0 : 1;
    state.down = !state.down;
    return state;
  }

  // Advances time by one step and ticks every instance that is not paused. Reads and heartbeats
  // reach the table at once; writes, and the commands of a paused instance, arrive in any order.
  // `paused` is an instance that is paused right after it has sent its commands.
  State Advance(State state, std::optional<unsigned> paused) const {
    ++state.steps;
    state.now += milliseconds(1000);
    for (Member& member : state.members) {
      if (!member.paused) member.last_tick = state.now;
    }
    for (unsigned i = 0; i < state.members.size(); ++i) {
      if (state.members[i].paused) continue;
      TickOne(state, i);
      if (i == paused) {
        state = Pause(std::move(state), i);
        continue;
      }
      while (!state.members[i].sent.empty() && state.members[i].sent.front().kind != Kind::kWrite) {
        state = Deliver(std::move(state), i, false);
      }
    }
    return state;
  }

  static void TickOne(State& state, unsigned index) {
    Member& member = state.members[index];
    std::vector<LiveMember> live;
    for (unsigned i = 0; i < state.members.size(); ++i) {
      const auto silence =
          std::chrono::duration_cast<milliseconds>(state.now - state.members[i].last_tick);
      if (silence <= milliseconds(1000)) live.push_back({Id(i), i + 1, silence, false});
    }
    for (OwnershipCommand& command : member.core.Tick(state.now, live)) {
      member.sent.push_back(std::move(command));
    }
    member.core.TakeEvents();
  }

  static std::string ToText(const OwnershipCommand& command, SteadyTime now) {
    return std::to_string(static_cast<int>(command.kind)) + command.instance + ":" +
           std::to_string((now - command.sent).count() / 1000000000) + ":" +
           std::to_string(command.row.version) + ":" + command.row.owner + ":" +
           std::to_string(command.instance_version.value_or(0)) + ";";
  }

  static std::string ToText(const State& state) {
    std::string text;
    for (const Member& member : state.members) {
      text += member.core.Fingerprint(state.now) + "/" + std::to_string(member.paused) + "/" +
              std::to_string((state.now - member.last_tick).count() / 1000000000) + "/" +
              std::to_string(member.attached) + "/";
      for (const auto& command : member.sent) text += ToText(command, state.now);
      for (const auto& answer : member.pending_answers) text += "A" + answer.text;
    }
    for (const auto& [i, command] : state.abandoned)
      text += "L" + Id(i) + ToText(command, state.now);
    for (const auto& [id, row] : state.instance_rows) text += "I" + std::to_string(row.version);
    // The order of starts in transit does not matter.
    std::vector<Start> starts = state.starts;
    std::sort(starts.begin(), starts.end());
    for (const Start& start : starts) text += "S" + Id(start.from) + std::to_string(start.epoch);
    for (const unsigned count : {state.pauses, state.losses, state.abandoned_count, state.steps,
                                 state.outages, state.down ? 1U : 0U}) {
      text += "," + std::to_string(count);
    }
    return text + "W" + std::to_string(state.worker_epoch) + "R" + state.row.owner +
           std::to_string(state.row.epoch) + ":" + std::to_string(state.row.version) + "V" +
           std::to_string(state.last_version);
  }

  Limits m_limits;
  DisabledCheck m_disabled;
  OwnershipOptions m_options;
};

void Explore(const std::string& name, const Limits& limits) {
  Model model(limits, DisabledCheck::kNothing);
  CHECK(model.Explore() == "");
  CHECK(model.complete);
  MESSAGE(name, ": ", model.states, " states, ", model.transitions, " transitions, ",
          model.stale_rejected, " stale starts rejected");
}

Limits WithOutage(unsigned steps) {
  Limits limits;
  limits.losses = limits.abandoned_writes = 0;
  limits.outages = 1;
  limits.steps = steps;
  return limits;
}

Limits ThreeInstances() {
  Limits limits;
  limits.instances = 3;
  limits.steps = 7;
  limits.abandoned_writes = 0;
  return limits;
}

// Guards against two owners that act at the same time. In every reachable state the worker accepts
// a start only from the owner under the highest epoch that it has seen, no two instances claim
// ownership under one epoch, and none claims it right after a pause.
TEST_CASE("ownership model: no order of events lets two owners act") {
  Explore("two instances", Limits{});
  // 8 steps have 990,706 states, too many for every run.
  const char* steps = std::getenv("CITRONSILL_MODEL_STEPS");
  Explore("two instances, one outage",
          WithOutage(steps != nullptr ? static_cast<unsigned>(std::atoi(steps)) : 7));
  Explore("three instances", ThreeInstances());
}

// Guards against a model that does not detect faults.
TEST_CASE("ownership model: the check fails when a part of the mechanism is disabled") {
  for (const DisabledCheck disabled : {DisabledCheck::kVersionCondition,
                                       DisabledCheck::kWorkerCheck, DisabledCheck::kPauseCheck}) {
    Model model(Limits{}, disabled);
    const std::string violation = model.Explore();
    MESSAGE(violation);
    CHECK(violation != "");
  }
}

}  // namespace
}  // namespace citronsill
