#include "cell/planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "cell/limits.h"
#include "cell/speed_ranks.h"

namespace citronsill {

std::uint32_t FitCount(const Resources& room, const Resources& size, std::uint32_t max_count) {
  std::int64_t count = max_count;
  const auto limit = [&count](std::int64_t have, std::int64_t need) {
    if (need > 0) count = std::min(count, std::max<std::int64_t>(have, 0) / need);
  };
  limit(room.processors_milli, size.processors_milli);
  limit(room.memory_mb, size.memory_mb);
  limit(room.accelerators, size.accelerators);
  return static_cast<std::uint32_t>(count);
}

namespace {

// Whether at least one task of `size` fits into `room`. Cheaper than `FitCount`.
bool FitsOne(const Resources& room, const Resources& size) {
  const auto covers = [](std::int64_t have, std::int64_t need) {
    return need <= 0 || have >= need;
  };
  return covers(room.processors_milli, size.processors_milli) &&
         covers(room.memory_mb, size.memory_mb) && covers(room.accelerators, size.accelerators);
}

enum class Lateness { kInTime, kLate, kVeryLate };

Lateness LatenessOf(const PlanUnit& unit, SteadyTime now) {
  if (now + unit.critical_path <= unit.objective) return Lateness::kInTime;
  if (now + unit.critical_path <= unit.late_limit) return Lateness::kLate;
  return Lateness::kVeryLate;
}

// One planning pass over the units, in the order of their sort keys.
class Planner {
 public:
  Planner(const PlanLimits& limits, std::vector<PlanWorker>* workers)
      : m_limits(limits),
        m_workers(*workers),
        m_set_aside(workers->size()),
        m_set_aside_until(workers->size(), SteadyTime::min()),
        m_customer_room(limits.customer_room) {
    for (const PlanWorker& worker : m_workers) {
      if (!worker.takes_work) continue;
      m_free += worker.free;
      m_max_free.ElementwiseMax(worker.free);
    }
  }

  Plan Run(std::vector<PlanUnit>* units, const std::vector<std::size_t>& order) {
    for (const std::size_t index : order) {
      PlanUnit& unit = (*units)[index];
      if (unit.count == 0) continue;
      if (IsLimitReached()) {
        // Reservations of gangs stay in force.
        if (!unit.reserved.empty()) m_plan.reservations.push_back({unit.id, unit.reserved});
        continue;
      }
      if (ObserveCustomerLimit(&unit)) continue;
      if (!IsWorthExamining(unit)) {
        if (unit.gang) AddGangDemand(unit);
        continue;
      }
      if (m_limits.fill_worker_fields) m_limits.fill_worker_fields(&unit);
      ++m_plan.examined;
      ListFits(unit);
      const std::size_t decisions = Decisions();
      if (unit.gang) {
        if (!PlaceGang(unit)) AddGangDemand(unit);
      } else {
        PlaceTasks(unit);
      }
      if (Decisions() == decisions) m_plan.undecided.push_back(unit.id);
    }
    return std::move(m_plan);
  }

 private:
  // Room that becomes free for a gang, and the workers that hold it.
  struct RoomAhead {
    SteadyTime ready;
    std::vector<std::uint32_t> workers;
  };

  // Lists the workers on which the unit that is examined now may run.
  void ListFits(const PlanUnit& unit) {
    m_known = unit.known;
    m_unknown.reset();
    for (std::uint32_t index = 0; index < unit.fits.size(); ++index) {
      if (unit.fits[index] >= Fit::kAllowed) m_known.push_back({index, unit.fits[index]});
    }
    m_plan.pairs += m_known.size();
  }

  // Workers about which the policy service has not been asked for the unit that is examined now.
  const std::vector<std::uint32_t>& Unknown(const PlanUnit& unit) {
    if (m_unknown) return *m_unknown;
    m_unknown.emplace();
    if (unit.fits.empty() && m_limits.list_unknown) m_unknown = m_limits.list_unknown(unit);
    for (std::uint32_t index = 0; index < unit.fits.size(); ++index) {
      if (unit.fits[index] == Fit::kUnknown) m_unknown->push_back(index);
    }
    m_plan.pairs += m_workers.size();
    return *m_unknown;
  }

  [[nodiscard]] std::vector<std::uint32_t> Known(Fit minimum) const {
    std::vector<std::uint32_t> workers;
    for (const KnownFit& known : m_known) {
      if (known.fit >= minimum) workers.push_back(known.worker);
    }
    return workers;
  }

  [[nodiscard]] std::size_t Decisions() const {
    return m_plan.placements.size() + m_plan.advice_requests.size() + m_plan.reservations.size();
  }

  // Records which limits of this pass are reached.
  // @returns whether any is.
  bool IsLimitReached() {
    m_plan.placement_limit_reached |= m_plan.placements.size() >= m_limits.max_placements;
    m_plan.examine_limit_reached |= m_plan.examined >= m_limits.max_examined;
    return m_plan.placement_limit_reached || m_plan.examine_limit_reached;
  }

  // Leaves out the tasks of a unit that do not fit below the limit of its customer. They take no
  // room, reservation or request from others.
  // @returns whether none is left.
  bool ObserveCustomerLimit(PlanUnit* unit) {
    if (m_customer_room.empty()) return false;
    Resources& room = m_customer_room[unit->customer];
    const std::uint32_t fitting = FitCount(room, unit->size, unit->count);
    if (fitting == unit->count) return false;
    m_plan.over_limit.push_back(unit->id);
    if (!unit->gang) {
      unit->count = fitting;
      return fitting == 0;
    }
    for (const Share& share : unit->reserved) ReturnRoom(*unit, share);
    // Later batch work of the customer would otherwise take each place as it becomes free.
    if (LatenessOf(*unit, m_limits.now) != Lateness::kVeryLate)
      TakeCustomerRoom(*unit, unit->count);
    return true;
  }

  void TakeCustomerRoom(const PlanUnit& unit, std::uint32_t count) {
    if (m_customer_room.empty()) return;
    for (std::uint32_t i = 0; i < count; ++i) m_customer_room[unit.customer] -= unit.size;
  }

  // While thousands of steps wait and the cell is full, the largest free amount on any worker rules
  // most of them out without a look at all workers.
  [[nodiscard]] bool IsWorthExamining(const PlanUnit& unit) const {
    if (CanAsk(unit) || !unit.reserved.empty()) return true;
    if (unit.gang && m_gangs_set_aside < kMaxGangsSetAside) return true;
    const std::uint32_t minimum = unit.gang ? unit.count : 1;
    return FitCount(m_max_free, unit.size, 1) > 0 &&
           FitCount(m_free, unit.size, minimum) == minimum;
  }

  [[nodiscard]] bool IsInteractive(const PlanUnit& unit) const { return unit.priority == 0; }

  // Number of tasks of the unit that fit on a worker now, without the room that is set aside for
  // units before it.
  [[nodiscard]] std::uint32_t FitCountOn(const PlanUnit& unit, std::uint32_t index) const {
    const PlanWorker& worker = m_workers[index];
    if (!worker.takes_work || !FitsOne(worker.free, unit.size)) return 0;
    Resources room = worker.free;
    const milliseconds duration = AtSpeed(unit.duration, worker.speed);
    const bool ends_in_time = m_limits.now + duration <= m_set_aside_until[index];
    if (!ends_in_time) room -= m_set_aside[index];
    std::uint32_t max_count = unit.count;
    if (unit.max_per_worker > 0) {
      const std::uint32_t present = unit.present.empty() ? 0 : unit.present[index];
      max_count = std::min(max_count, unit.max_per_worker - std::min(unit.max_per_worker, present));
    }
    return FitCount(room, unit.size, max_count);
  }

  // Number of tasks of the unit that may start while gangs wait.
  //
  // At peak load there is more work than room. Batch tasks can wait until load drops, but they
  // would fill every free place as it appears, and gangs, which have little time, would never find
  // enough of them. While gangs wait, batch work leaves free the room that they need.
  [[nodiscard]] std::uint32_t MaxTasksBesideGangs(const PlanUnit& unit) const {
    if (IsInteractive(unit) || unit.gang || unit.goes_first || IsUrgent(unit)) return unit.count;
    Resources room = m_free;
    room.processors_milli -= m_gang_demand.processors_milli * kGangRoomPercent / 100;
    room.memory_mb -= m_gang_demand.memory_mb * kGangRoomPercent / 100;
    return FitCount(room, unit.size, unit.count);
  }

  [[nodiscard]] bool IsUrgent(const PlanUnit& unit) const {
    return m_limits.now + kNoYieldWithin >= unit.objective - unit.critical_path;
  }

  // Counts the demand of a waiting gang. Gangs that cannot meet their objective any more are not
  // worth keeping room for.
  void AddGangDemand(const PlanUnit& unit) {
    if (LatenessOf(unit, m_limits.now) != Lateness::kInTime) return;
    for (std::uint32_t i = 0; i < unit.count; ++i) m_gang_demand += unit.size;
  }

  void TakeRoom(const PlanUnit& unit, std::uint32_t index, std::uint32_t count) {
    TakeCustomerRoom(unit, count);
    for (std::uint32_t i = 0; i < count; ++i) {
      m_workers[index].free -= unit.size;
      m_free -= unit.size;
    }
  }

  void Place(const PlanUnit& unit, std::uint32_t index, std::uint32_t count) {
    TakeRoom(unit, index, count);
    for (std::uint32_t i = 0; i < count; ++i) m_plan.placements.push_back({unit.id, index});
  }

  // The rack on which the unit runs best; 0 if it does not matter.
  //
  // Tasks that exchange data take several times as long on more than one rack. Chooses the rack
  // with the least room among those that hold the whole unit, or else the one that holds most of
  // it.
  [[nodiscard]] std::uint32_t BestRack(const PlanUnit& unit,
                                       const std::vector<std::uint32_t>& workers) const {
    if (!unit.rack_local || unit.preferred_rack != 0) return unit.preferred_rack;
    std::map<std::uint32_t, std::uint32_t> fit_counts;
    for (const std::uint32_t index : workers) {
      fit_counts[m_workers[index].rack] += FitCountOn(unit, index);
    }
    const auto key = [&unit](std::uint32_t fit_count) {
      const bool holds_all = fit_count >= unit.count;
      return std::tuple(!holds_all, holds_all ? fit_count : UINT32_MAX - fit_count);
    };
    const auto best = std::min_element(
        fit_counts.begin(), fit_counts.end(),
        [&](const auto& x, const auto& y) { return key(x.second) < key(y.second); });
    return best == fit_counts.end() ? 0 : best->first;
  }

  // Those of the workers that have room for the unit. Workers on its preferred rack come first,
  // among them those of a suitable speed (see `RankSpeeds`), and among these those with the least
  // free processors, so that room for large tasks stays unbroken.
  [[nodiscard]] std::vector<std::uint32_t> CandidateWorkers(
      const PlanUnit& unit, const std::vector<std::uint32_t>& workers) const {
    const std::uint32_t rack = BestRack(unit, workers);
    std::vector<std::tuple<bool, int, std::int64_t, std::int64_t, std::uint32_t>> keys;
    std::vector<SpeedFit> speeds;
    for (const std::uint32_t index : workers) {
      const std::uint32_t fit_count = FitCountOn(unit, index);
      if (fit_count == 0) continue;
      const std::int64_t free = m_workers[index].free.processors_milli;
      const bool is_off_rack = rack != 0 && m_workers[index].rack != rack;
      // Members of a gang go to workers on which most of them fit: the fewer workers, the fewer of
      // them can fail the gang.
      keys.emplace_back(is_off_rack, 0, unit.gang ? -std::int64_t{fit_count} : free, free, index);
      speeds.push_back({m_workers[index].speed, fit_count});
    }
    if (const std::vector<int> ranks = RankSpeeds(speeds, SpeedNeedOf(unit)); !ranks.empty()) {
      for (std::size_t i = 0; i < keys.size(); ++i) std::get<1>(keys[i]) = ranks[i];
    }
    std::sort(keys.begin(), keys.end());
    std::vector<std::uint32_t> found;
    found.reserve(keys.size());
    for (const auto& key : keys) found.push_back(std::get<4>(key));
    return found;
  }

  [[nodiscard]] SpeedNeed SpeedNeedOf(const PlanUnit& unit) const {
    SpeedNeed need;
    need.duration = unit.duration;
    need.gang_members = unit.gang ? unit.count : 0;
    const SteadyTime end = m_limits.now + unit.critical_path;
    if (end <= unit.objective) {
      need.slack = std::chrono::duration_cast<milliseconds>(unit.objective - end);
    } else if (end <= unit.late_limit) {
      need.slack = std::chrono::duration_cast<milliseconds>(unit.late_limit - end);
    }
    return need;
  }

  void PlaceTasks(const PlanUnit& unit) {
    std::uint32_t left = MaxTasksBesideGangs(unit);
    if (left == 0) {
      if (FitCount(m_free, unit.size, 1) > 0) m_plan.yielding.push_back(unit.id);
      return;
    }
    if (const std::size_t placements_left = m_limits.max_placements - m_plan.placements.size();
        left > placements_left) {
      left = static_cast<std::uint32_t>(placements_left);
      m_plan.placement_limit_reached = true;
    }
    for (const std::uint32_t index : CandidateWorkers(unit, Known(Fit::kReady))) {
      if (left == 0) return;
      const std::uint32_t count = std::min(left, FitCountOn(unit, index));
      Place(unit, index, count);
      left -= count;
    }
    if (left > 0) AskForTickets(unit, left);
  }

  // Chooses workers for all members of a gang.
  // @returns an empty list if not all of them fit.
  [[nodiscard]] std::vector<Share> ChooseGangWorkers(const PlanUnit& unit, Fit minimum) const {
    std::vector<Share> chosen;
    std::uint32_t left = unit.count;
    for (const std::uint32_t index : CandidateWorkers(unit, Known(minimum))) {
      if (left == 0) break;
      const std::uint32_t count = std::min(left, FitCountOn(unit, index));
      chosen.push_back({index, count});
      left -= count;
    }
    if (left > 0) chosen.clear();
    return chosen;
  }

  // An advice request about a gang takes half a second. Smaller tasks would fill the room that was
  // found for it meanwhile, and gangs would ask again and again while a third of the cell is idle.
  // For this reason, the room is reserved as soon as the advice request is sent.
  // @returns whether the gang needs no further room.
  bool PlaceGang(const PlanUnit& unit) {
    if (!unit.reserved.empty()) {
      if (!unit.may_ask) {
        m_plan.reservations.push_back({unit.id, unit.reserved});
        TakeCustomerRoom(unit, unit.count);
        return true;
      }
      for (const Share& share : unit.reserved) ReturnRoom(unit, share);
    }
    if (const auto chosen = ChooseGangWorkers(unit, Fit::kReady); !chosen.empty()) {
      for (const Share& share : chosen) Place(unit, share.worker, share.count);
      return true;
    }
    if (const auto chosen = ChooseGangWorkers(unit, Fit::kAllowed);
        !chosen.empty() && CanAsk(unit)) {
      std::vector<std::uint32_t> workers;
      for (const Share& share : chosen) {
        TakeRoom(unit, share.worker, share.count);
        // Renews all tickets: those that are still valid may expire before the answer arrives.
        workers.push_back(share.worker);
      }
      m_plan.reservations.push_back({unit.id, chosen});
      AskOnSeveralSlots(unit, workers);
      return true;
    }
    AskForTickets(unit, unit.count);
    RenewTickets(unit, SetRoomAside(unit));
    return false;
  }

  // Renews the tickets of a gang shortly before the room that is set aside for it becomes free.
  //
  // Matters where an answer of the policy service takes a second: the room of a whole gang would
  // otherwise stay empty for that long while other work waits.
  void RenewTickets(const PlanUnit& unit, const std::optional<RoomAhead>& room) {
    if (!room || unit.ticket_valid <= milliseconds(0) || !CanAsk(unit)) return;
    if (!m_plan.advice_requests.empty() && m_plan.advice_requests.back().unit == unit.id) return;
    if (room->ready > m_limits.now + unit.advice_time + unit.ticket_valid / 2) return;
    const auto has_ticket = [this](std::uint32_t index) {
      return std::any_of(m_known.begin(), m_known.end(), [index](const KnownFit& known) {
        return known.worker == index && known.fit == Fit::kReady;
      });
    };
    if (std::all_of(room->workers.begin(), room->workers.end(), has_ticket)) return;
    AskOnSeveralSlots(unit, room->workers);
  }

  void ReturnRoom(const PlanUnit& unit, const Share& share) {
    for (std::uint32_t i = 0; i < share.count; ++i) {
      m_workers[share.worker].free += unit.size;
      m_free += unit.size;
    }
    m_max_free.ElementwiseMax(m_workers[share.worker].free);
  }

  // Asks for tickets for `need` tasks that have no worker yet.
  void AskForTickets(const PlanUnit& unit, std::uint32_t need) {
    if (!CanAsk(unit)) return;
    std::vector<std::uint32_t> workers;
    double expected = 0.0;
    const double wanted = AskFactor(unit) * need;
    const auto add = [&](const std::vector<std::uint32_t>& among, double share) {
      for (const std::uint32_t index : CandidateWorkers(unit, among)) {
        if (expected >= wanted) return;
        expected += share * FitCountOn(unit, index);
        workers.push_back(index);
      }
    };
    // Tickets for a part of a gang are useless: a gang only asks about workers that are still
    // unknown.
    if (!unit.gang) add(WithoutTicket(), 1.0);
    const std::size_t allowed_count = workers.size();
    if (expected < wanted) {
      add(Unknown(unit), unit.allowed_share);
      const std::size_t minimum = allowed_count + NamesWanted(unit);
      if (workers.size() < minimum) {
        AddFreestWorkers(unit, minimum - workers.size(), &workers);
      }
    }
    AskOnSeveralSlots(unit, workers);
  }

  // Splits an advice request over several request slots: a large gang needs answers about many
  // workers at once.
  void AskOnSeveralSlots(const PlanUnit& unit, const std::vector<std::uint32_t>& workers) {
    const std::size_t preferred = unit.request_kind == AdviceRequestKind::kLong
                                      ? kPreferredNamedWorkersLong
                                      : MaxNamedWorkers(unit);
    const std::size_t parts =
        std::min(SlotsPerUnit(unit), (workers.size() + preferred - 1) / preferred);
    if (parts == 0) return;
    const std::size_t each = std::min(MaxNamedWorkers(unit), (workers.size() + parts - 1) / parts);
    for (std::size_t first = 0; first < workers.size() && CanAsk(unit); first += each) {
      const std::size_t last = std::min(workers.size(), first + each);
      Ask(unit, {workers.begin() + static_cast<std::ptrdiff_t>(first),
                 workers.begin() + static_cast<std::ptrdiff_t>(last)});
      if (first / each + 1 >= parts) return;
    }
  }

  // Number of request slots that one unit may use at a time: more while most slots are idle.
  [[nodiscard]] std::size_t SlotsPerUnit(const PlanUnit& unit) const {
    if (unit.request_kind != AdviceRequestKind::kLong) return kMinSlotsPerUnit;
    const std::uint32_t idle = m_limits.advice_capacity.free_long -
                               std::min(m_limits.advice_capacity.free_long, m_long_requests);
    return std::clamp<std::size_t>(idle / kIdleSlotsPerSlot, kMinSlotsPerUnit, kMaxSlotsPerUnit);
  }

  // Answers about long steps take a second, in which other units take the room that was free. A
  // gang that has to ask a second time starts a second and a half later; so it asks about more
  // workers at first while slots are idle.
  [[nodiscard]] double AskFactor(const PlanUnit& unit) const {
    if (!unit.gang && !unit.may_use_reserved_slots) return kAskFactor;
    return SlotsPerUnit(unit) > kMinSlotsPerUnit ? kBroadGangAskFactor : kGangAskFactor;
  }

  // Number of unknown workers to name, whether they have room now or not.
  //
  // While the cell is full, a gang that knows a few allowed workers has to wait until most of what
  // runs there has ended. Among many of them enough places become free at any time, so it asks
  // until the allowed ones could hold it several times.
  [[nodiscard]] std::size_t NamesWanted(const PlanUnit& unit) const {
    const std::size_t minimum = MinNamedWorkers(unit);
    if (!unit.gang || unit.request_kind != AdviceRequestKind::kLong) return minimum;
    double places = 0.0;
    double capacity = 0.0;
    for (const KnownFit& known : m_known) {
      places += FitCount(m_workers[known.worker].capacity, unit.size, unit.count);
    }
    for (const PlanWorker& worker : m_workers) {
      if (worker.takes_work) capacity += FitCount(worker.capacity, unit.size, unit.count);
    }
    const double missing = kGangPlaces * unit.count - places;
    const double each = unit.allowed_share * capacity / static_cast<double>(m_workers.size());
    if (missing <= 0.0 || each <= 0.0) return minimum;
    return std::clamp(static_cast<std::size_t>(missing / each), minimum,
                      SlotsPerUnit(unit) * kPreferredNamedWorkersLong);
  }

  static std::size_t MinNamedWorkers(const PlanUnit& unit) {
    return unit.request_kind == AdviceRequestKind::kLong ? kMinNamedWorkersLong : kMinNamedWorkers;
  }

  static std::size_t MaxNamedWorkers(const PlanUnit& unit) {
    return unit.request_kind == AdviceRequestKind::kLong ? kMaxNamedWorkersLong : kMaxNamedWorkers;
  }

  // Workers that are allowed, but whose ticket has expired.
  [[nodiscard]] std::vector<std::uint32_t> WithoutTicket() const {
    std::vector<std::uint32_t> workers;
    for (const KnownFit& known : m_known) {
      if (known.fit == Fit::kAllowed) workers.push_back(known.worker);
    }
    return workers;
  }

  // Adds the unknown workers that have the most free processors, full ones included.
  void AddFreestWorkers(const PlanUnit& unit, std::size_t count,
                        std::vector<std::uint32_t>* workers) {
    std::vector<std::uint32_t> found;
    for (const std::uint32_t index : Unknown(unit)) {
      const bool is_named = std::find(workers->begin(), workers->end(), index) != workers->end();
      const bool could_hold = FitsOne(m_workers[index].capacity, unit.size);
      if (m_workers[index].takes_work && could_hold && !is_named) found.push_back(index);
    }
    const auto last = found.begin() + static_cast<std::ptrdiff_t>(std::min(count, found.size()));
    std::partial_sort(found.begin(), last, found.end(), [&](std::uint32_t a, std::uint32_t b) {
      return std::tuple(-m_workers[a].free.processors_milli, a) <
             std::tuple(-m_workers[b].free.processors_milli, b);
    });
    workers->insert(workers->end(), found.begin(), last);
  }

  [[nodiscard]] bool CanAsk(const PlanUnit& unit) const {
    if (!unit.may_ask) return false;
    if (unit.may_use_reserved_slots) return m_limits.advice_capacity.free > m_requests;
    switch (unit.request_kind) {
      case AdviceRequestKind::kInteractive:
        return m_limits.advice_capacity.free > m_requests;
      case AdviceRequestKind::kBatch:
        return m_limits.advice_capacity.free > m_requests &&
               m_limits.advice_capacity.free_batch > m_batch_requests;
      case AdviceRequestKind::kLong:
        return m_limits.advice_capacity.free > m_requests &&
               m_limits.advice_capacity.free_batch > m_batch_requests &&
               m_limits.advice_capacity.free_long > m_long_requests;
    }
    return false;
  }

  void Ask(const PlanUnit& unit, std::vector<std::uint32_t> workers) {
    if (!CanAsk(unit)) return;
    ++m_requests;
    if (unit.request_kind != AdviceRequestKind::kInteractive) ++m_batch_requests;
    if (unit.request_kind == AdviceRequestKind::kLong) ++m_long_requests;
    m_plan.advice_requests.push_back({unit.id, std::move(workers)});
  }

  // Sets room aside for the first gangs that have to wait, up to `kMaxGangsSetAside`.
  //
  // Gangs need a third of a worker for each of many members, and smaller tasks fill free places as
  // soon as they appear, so that a gang never finds enough of them at once. Sets aside the workers
  // on which the gang fits soonest; tasks that are expected to end before that time may still use
  // them.
  std::optional<RoomAhead> SetRoomAside(const PlanUnit& unit) {
    if (m_gangs_set_aside >= kMaxGangsSetAside || m_set_aside_tries >= kMaxSetAsideTries) {
      return std::nullopt;
    }
    ++m_set_aside_tries;
    struct Change {
      SteadyTime at;
      std::uint32_t worker;
      Resources size;
    };
    std::vector<Change> changes;
    std::vector<Resources> room(m_workers.size());
    std::uint32_t fitting = 0;
    for (const std::uint32_t index : Known(Fit::kAllowed)) {
      const PlanWorker& worker = m_workers[index];
      if (!worker.takes_work || m_set_aside_until[index] != SteadyTime::min()) continue;
      room[index] = worker.free;
      fitting += FitCount(room[index], unit.size, unit.count);
      for (const ExpectedEnd& end : EndsOn(index)) changes.push_back({end.at, index, end.size});
    }
    std::sort(changes.begin(), changes.end(),
              [](const Change& a, const Change& b) { return a.at < b.at; });
    SteadyTime ready = m_limits.now;
    for (const Change& change : changes) {
      if (fitting >= unit.count) break;
      fitting -= FitCount(room[change.worker], unit.size, unit.count);
      room[change.worker] += change.size;
      fitting += FitCount(room[change.worker], unit.size, unit.count);
      ready = change.at;
    }
    if (fitting < unit.count) return std::nullopt;
    ++m_gangs_set_aside;
    return RoomAhead{ready, SetAsideUntil(unit, ready, room)};
  }

  const std::vector<ExpectedEnd>& EndsOn(std::uint32_t index) {
    PlanWorker& worker = m_workers[index];
    if (m_limits.list_ends && m_has_ends.insert(index).second) {
      worker.ends = m_limits.list_ends(index);
      m_plan.pairs += worker.ends.size();
    }
    return worker.ends;
  }

  // @returns the workers on which room was set aside.
  std::vector<std::uint32_t> SetAsideUntil(const PlanUnit& unit, SteadyTime ready,
                                           const std::vector<Resources>& room) {
    std::vector<std::uint32_t> order = Known(Fit::kAllowed);
    std::sort(order.begin(), order.end());
    std::stable_sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
      return FitCount(room[a], unit.size, unit.count) > FitCount(room[b], unit.size, unit.count);
    });
    std::uint32_t left = unit.count;
    std::vector<std::uint32_t> workers;
    for (const std::uint32_t index : order) {
      const std::uint32_t count = std::min(left, FitCount(room[index], unit.size, unit.count));
      if (count == 0) break;
      workers.push_back(index);
      for (std::uint32_t i = 0; i < count; ++i) m_set_aside[index] += unit.size;
      m_set_aside_until[index] = ready;
      m_plan.set_aside.push_back({index, m_set_aside[index]});
      left -= count;
    }
    return workers;
  }

  // Tickets are requested for this multiple of the tasks that need one.
  static constexpr double kAskFactor = 1.5;
  // The same for gangs, which need all of their room at one moment, and for tasks that go first:
  // the few workers that one of them needs may be full when the answer arrives.
  static constexpr double kGangAskFactor = 3.0;
  // The same while most request slots are idle.
  static constexpr double kBroadGangAskFactor = 6.0;
  // A gang asks about workers until the allowed ones could hold it this many times while nothing
  // else runs there.
  static constexpr double kGangPlaces = 6.0;
  // Number of request slots that one unit uses at a time: at most the first, or one in
  // `kIdleSlotsPerSlot` idle ones, at most the second.
  static constexpr std::size_t kMinSlotsPerUnit = 4;
  static constexpr std::size_t kMaxSlotsPerUnit = 10;
  static constexpr std::size_t kIdleSlotsPerSlot = 6;
  // A long request names this many workers if there are slots for the others: with more, the answer
  // takes longer than the wait for room.
  static constexpr std::size_t kPreferredNamedWorkersLong = 64;
  // Minimum number of workers named in an advice request: with a share of 0.3 allowed, two allowed
  // ones are found in 9 of 10 cases.
  static constexpr std::size_t kMinNamedWorkers = 12;
  // The same for long advice requests: they take long anyway, so more names are worth it.
  static constexpr std::size_t kMinNamedWorkersLong = 32;
  // Maximum number of workers named in an advice request, a limit of the policy service. The same
  // value holds for long advice requests.
  static constexpr std::size_t kMaxNamedWorkers = 100;
  static constexpr std::size_t kMaxNamedWorkersLong = 100;
  // Percentage of the room needed by waiting gangs that is left free for them. It is above 100
  // because some of the free room is on workers that are not allowed to run them.
  static constexpr std::int64_t kGangRoomPercent = 150;
  // Batch work that has to start within this time does not yield any more. The time covers a
  // commit, an advice request and a margin for the error of its run time.
  static constexpr milliseconds kNoYieldWithin{3000};
  // Maximum number of gangs for which room is set aside at a time.
  static constexpr std::uint32_t kMaxGangsSetAside = 2;
  // Maximum number of gangs for which that is tried in one pass: each try looks at the ends of all
  // tasks on the workers that may run the gang.
  static constexpr std::uint32_t kMaxSetAsideTries = 4;

  const PlanLimits& m_limits;
  std::vector<PlanWorker>& m_workers;
  std::vector<Resources> m_set_aside;  // Room set aside for waiting gangs, by worker.
  // When the gang for which room is set aside can start, by worker; min() if there is none.
  std::vector<SteadyTime> m_set_aside_until;
  std::vector<Resources> m_customer_room;  // Left below the limits, by customer.
  Resources m_free;                        // Sum over the workers that accept tasks.
  // Upper bound of the free amount of each resource on any worker that accepts tasks. Placements do
  // not lower it.
  Resources m_max_free;
  Resources m_gang_demand;  // Demand of gangs that were considered in this pass and wait.
  std::uint32_t m_requests = 0;
  std::uint32_t m_batch_requests = 0;
  std::uint32_t m_long_requests = 0;
  std::uint32_t m_gangs_set_aside = 0;
  std::uint32_t m_set_aside_tries = 0;
  std::unordered_set<std::uint32_t> m_has_ends;  // Workers whose `ends` are filled in.
  // Fits of the unit that is examined now.
  std::vector<KnownFit> m_known;
  std::optional<std::vector<std::uint32_t>> m_unknown;  // Listed when needed.
  Plan m_plan;
};

}  // namespace

namespace {

auto SortKey(const PlanUnit& unit, SteadyTime now) {
  const Lateness lateness = LatenessOf(unit, now);
  const bool is_interactive = unit.priority == 0;
  // Units in time are ordered by the latest start that meets the objective; late units by the
  // remaining time of their job, shortest first.
  const SteadyTime latest = lateness == Lateness::kInTime ? unit.objective - unit.critical_path
                                                          : SteadyTime(unit.critical_path);
  const bool is_hopeless = lateness == Lateness::kVeryLate;
  return std::tuple(!unit.goes_first, is_hopeless, unit.is_beyond_share, lateness, !is_interactive,
                    latest, unit.arrived, unit.id);
}

}  // namespace

bool GoesBefore(const PlanUnit& a, const PlanUnit& b, SteadyTime now) {
  return SortKey(a, now) < SortKey(b, now);
}

Plan MakePlan(const PlanLimits& limits, std::vector<PlanUnit> units,
              std::vector<PlanWorker>* workers) {
  std::vector<std::pair<decltype(SortKey(units[0], limits.now)), std::size_t>> sort_keys;
  sort_keys.reserve(units.size());
  for (const PlanUnit& unit : units)
    sort_keys.emplace_back(SortKey(unit, limits.now), sort_keys.size());
  std::sort(sort_keys.begin(), sort_keys.end());
  std::vector<std::size_t> order;
  order.reserve(sort_keys.size());
  for (const auto& [key, index] : sort_keys) order.push_back(index);
  return Planner(limits, workers).Run(&units, order);
}

}  // namespace citronsill
