#include "citronsill/placement.h"

#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace citronsill {
namespace {

constexpr std::uint32_t kNone = UINT32_MAX;

// Free processors and memory are indexed in this many steps of the largest capacity, so that the
// levels of one resource fit into the bits of one word.
constexpr std::uint32_t kLevels = 64;

// Number of planes. A plane holds the workers with one number of free slots; the last plane, all
// with at least kSlotPlanes. With 7 planes, a column of buckets takes half a cache line.
constexpr std::uint32_t kSlotPlanes = 7;

// Number of pools. A pool holds the workers with one number of free accelerators; the last pool,
// all with at least kAcceleratorPools - 1. The lowest sufficient pool is searched first, so that
// tasks without accelerators keep accelerators free.
constexpr std::uint32_t kAcceleratorPools = 8;

// Workers in buckets whose level equals that of the requested size may or may not fit and are
// compared one by one. After this many misfits the search continues in buckets in which every
// worker has enough processors and memory.
constexpr std::uint32_t kMisfitBudget = 32;

// Maximum number of candidates on one worker of which all
// subsets are considered; of more, only the cheapest are used.
constexpr std::size_t kMaxVictimCandidates = 16;

constexpr std::uint64_t BitsFrom(std::uint32_t first) {
  return first >= kLevels ? 0 : ~std::uint64_t{0} << first;
}

enum Axis : std::uint32_t { kProcessors = 0, kMemory = 1 };

/// Position of a worker in the index: its pool, its plane and its levels of free processors and
/// free memory.
struct BucketId {
  std::uint8_t pool = 0;
  std::uint8_t plane = 0;  ///< 0 when the worker is not in the index.
  std::uint8_t processors = 0;
  std::uint8_t memory = 0;

  bool operator==(const BucketId& other) const {
    return std::bit_cast<std::uint32_t>(*this) == std::bit_cast<std::uint32_t>(other);
  }
};

/// Workers of one pool, grouped into buckets by plane and by levels of free processors and memory.
/// A column holds the buckets of all planes at one pair of levels.
class Grid {
 public:
  Grid() : m_columns(std::size_t{kLevels} * kLevels) {}

  /// @returns the handle of the first worker of a bucket, kNone if the bucket is empty.
  std::uint32_t& Head(std::uint32_t plane, std::uint32_t processors, std::uint32_t memory) {
    return ColumnAt(processors, memory).heads[plane - 1];
  }

  /// @returns a bit mask of the non-empty buckets of a column; bit 0 is plane 1.
  [[nodiscard]] std::uint32_t UsedPlanes(std::uint32_t processors, std::uint32_t memory) {
    return ColumnAt(processors, memory).used;
  }

  void MarkUsed(const BucketId& bucket) {
    Column& column = ColumnAt(bucket.processors, bucket.memory);
    if (column.used == 0) {
      m_columns_by_axis[kProcessors].Set(bucket.processors, bucket.memory);
      m_columns_by_axis[kMemory].Set(bucket.memory, bucket.processors);
    }
    column.used |= PlaneBit(bucket);
    m_buckets_by_plane[bucket.plane - 1].Set(bucket.processors, bucket.memory);
  }

  void MarkEmpty(const BucketId& bucket) {
    Column& column = ColumnAt(bucket.processors, bucket.memory);
    column.used &= ~PlaneBit(bucket);
    m_buckets_by_plane[bucket.plane - 1].Clear(bucket.processors, bucket.memory);
    if (column.used == 0) {
      m_columns_by_axis[kProcessors].Clear(bucket.processors, bucket.memory);
      m_columns_by_axis[kMemory].Clear(bucket.memory, bucket.processors);
    }
  }

  [[nodiscard]] bool IsEmpty() const { return m_columns_by_axis[kProcessors].used == 0; }

  /// Visits the non-empty columns at or above the given levels, in ascending order of the level of
  /// `axis`, then of the other axis, until `visit` returns true.
  template <class Visit>
  void WalkColumns(Axis axis, std::array<std::uint32_t, 2> from, Visit visit) const {
    m_columns_by_axis[axis].Walk(from[axis], from[1 - axis],
                                 [&](std::uint32_t row, std::uint32_t bit) {
                                   return axis == kProcessors ? visit(row, bit) : visit(bit, row);
                                 });
  }

  /// Visits the non-empty buckets of one plane by processors, then memory; otherwise as
  /// `WalkColumns`.
  template <class Visit>
  void WalkPlane(std::uint32_t plane, std::array<std::uint32_t, 2> from, Visit visit) const {
    m_buckets_by_plane[plane - 1].Walk(from[kProcessors], from[kMemory], visit);
  }

 private:
  struct alignas(32) Column {
    Column() { heads.fill(kNone); }
    std::array<std::uint32_t, kSlotPlanes> heads;
    std::uint32_t used = 0;
  };

  /// Matrix with one bit for each pair of levels.
  struct BitMatrix {
    std::array<std::uint64_t, kLevels> bits{};
    std::uint64_t used = 0;  ///< Bit mask of the rows that are not zero.

    void Set(std::uint32_t row, std::uint32_t bit) {
      bits[row] |= std::uint64_t{1} << bit;
      used |= std::uint64_t{1} << row;
    }

    void Clear(std::uint32_t row, std::uint32_t bit) {
      bits[row] &= ~(std::uint64_t{1} << bit);
      if (bits[row] == 0) used &= ~(std::uint64_t{1} << row);
    }

    template <class Visit>
    void Walk(std::uint32_t from_row, std::uint32_t from_bit, Visit visit) const {
      const std::uint64_t allowed = BitsFrom(from_bit);
      for (std::uint64_t rest = used & BitsFrom(from_row); rest != 0; rest &= rest - 1) {
        const auto row = static_cast<std::uint32_t>(std::countr_zero(rest));
        for (std::uint64_t set = bits[row] & allowed; set != 0; set &= set - 1) {
          if (visit(row, static_cast<std::uint32_t>(std::countr_zero(set)))) return;
        }
      }
    }
  };

  static std::uint32_t PlaneBit(const BucketId& bucket) { return 1U << (bucket.plane - 1U); }

  Column& ColumnAt(std::uint32_t processors, std::uint32_t memory) {
    return m_columns[processors * kLevels + memory];
  }

  // Bits of the non-empty columns; rows by the level of the axis.
  std::array<BitMatrix, 2> m_columns_by_axis;
  // Bits of the non-empty buckets; rows by the level of processors.
  std::array<BitMatrix, kSlotPlanes> m_buckets_by_plane;
  std::vector<Column> m_columns;
};

/// Monotonic mapping of an amount of a resource to a level.
class Scale {
 public:
  void SetLargest(std::int64_t largest) {
    m_largest = static_cast<std::uint64_t>(std::max<std::int64_t>(largest, 1));
    // Rounded up, so that an amount at the lower bound
    // of a level does not fall into the level below.
    m_factor = ((std::uint64_t{kLevels} << kFractionBits) + m_largest - 1) / m_largest;
  }

  /// @param amount not negative.
  [[nodiscard]] std::uint32_t LevelOf(std::int64_t amount) const {
    const std::uint64_t bounded = std::min(static_cast<std::uint64_t>(amount), m_largest);
    const std::uint64_t level = (bounded * m_factor) >> kFractionBits;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(level, kLevels - 1));
  }

  /// @returns the lowest level of which every amount is at least `amount`.
  [[nodiscard]] std::uint32_t CoveringLevel(std::int64_t amount) const {
    const std::uint32_t level = LevelOf(amount);
    return amount <= 0 || LevelOf(amount - 1) < level ? level : level + 1;
  }

 private:
  // The product of an amount up to `m_largest` and the factor is at most 2^38, rounding aside.
  static constexpr unsigned kFractionBits = 32;

  std::uint64_t m_largest = 1;
  std::uint64_t m_factor = std::uint64_t{kLevels} << kFractionBits;
};

struct Rack {
  std::uint32_t domain = 0;
  std::vector<std::uint32_t> workers;
  std::uint32_t siblings = 0;  ///< Siblings of the query on this rack; 0 between choices.
  // Per-dimension maxima of the free capacity of
  // accepting workers; computed when a service is placed.
  bool is_stale = true;
  Resources max_free;
  std::int32_t max_free_slots = 0;
};

struct Domain {
  std::vector<std::uint32_t> racks;
  std::int64_t used_slots = 0;
  std::uint32_t siblings = 0;  ///< Siblings of the query in this domain; 0 between choices.
};

struct Totals {
  Resources resources;
  std::int64_t slots = 0;

  void Add(const Resources& size, std::int64_t more_slots) {
    resources += size;
    slots += more_slots;
  }
  void Subtract(const Resources& size, std::int64_t fewer_slots) {
    resources -= size;
    slots -= fewer_slots;
  }
};

/// Used part of a resource. Compared by cross multiplication, to avoid a division in each choice.
struct Usage {
  Usage(std::int64_t used_amount, std::int64_t total)
      : used(static_cast<double>(used_amount)), capacity(static_cast<double>(total)) {}
  double used;
  double capacity;
};

std::string FormatProcessors(std::int64_t milli) {
  std::string text = std::to_string(milli / 1000);
  if (milli % 1000 != 0) {
    std::string fraction = std::to_string(1000 + milli % 1000).substr(1);
    fraction.erase(fraction.find_last_not_of('0') + 1);
    text += "." + fraction;
  }
  return text + " processors";
}

std::string FormatMemory(std::int64_t mb) { return std::to_string(mb) + " MiB of memory"; }

std::string FormatAccelerators(std::int64_t count) {
  return std::to_string(count) + " accelerators";
}

std::string FormatSize(const Resources& size) {
  return FormatProcessors(size.processors_milli) + ", " + FormatMemory(size.memory_mb) + " and " +
         FormatAccelerators(size.accelerators);
}

/// Finds the cheapest sufficient set of candidates on one worker, by
/// depth-first search over the candidates in ascending order of cost.
class VictimSearch {
 public:
  VictimSearch(const Resources& size, std::span<const PreemptionCandidate> candidates)
      : m_size(size), m_candidates(candidates) {}

  /// @param indexes of the candidates on one worker.
  /// @param free resources of that worker; they and
  /// `free_slots` are negative if it is overcommitted.
  void SearchWorker(std::vector<std::size_t> indexes, const Resources& free,
                    std::int32_t free_slots) {
    std::sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
      return std::pair(m_candidates[a].cost, a) < std::pair(m_candidates[b].cost, b);
    });
    if (indexes.size() > kMaxVictimCandidates) indexes.resize(kMaxVictimCandidates);
    m_indexes = std::move(indexes);
    m_chosen.clear();
    Descend(0, free, free_slots, 0.0);
  }

  [[nodiscard]] const std::vector<std::size_t>& Best() const { return m_best; }

 private:
  void Descend(std::size_t next, const Resources& free, std::int32_t free_slots, double cost) {
    if (!m_best.empty() && !IsBetter(cost)) return;
    if (free_slots > 0 && !m_chosen.empty() && free.Covers(m_size)) {
      m_best = m_chosen;
      m_best_cost = cost;
      return;
    }
    for (std::size_t i = next; i < m_indexes.size(); ++i) {
      const PreemptionCandidate& candidate = m_candidates[m_indexes[i]];
      Resources free_after = free;
      free_after += candidate.size;
      m_chosen.push_back(m_indexes[i]);
      Descend(i + 1, free_after, free_slots + 1, cost + candidate.cost);
      m_chosen.pop_back();
    }
  }

  [[nodiscard]] bool IsBetter(double cost) const {
    return std::pair(cost, m_chosen.size()) < std::pair(m_best_cost, m_best.size());
  }

  Resources m_size;
  std::span<const PreemptionCandidate> m_candidates;
  std::vector<std::size_t> m_indexes;
  std::vector<std::size_t> m_chosen;
  std::vector<std::size_t> m_best;
  double m_best_cost = 0.0;
};

}  // namespace

struct WorkerIndex::Impl {
  /// The data of a worker that choices read; one cache line.
  struct alignas(64) Worker {
    Resources free;
    std::int32_t free_slots = 0;
    std::uint32_t rack = 0;
    std::uint32_t domain = 0;
    std::uint64_t excluded_in_choice = 0;  ///< Last `current_choice` that excluded the worker.
    std::uint32_t siblings = 0;            ///< Siblings of the query here; 0 between choices.
    BucketId bucket;
    bool accepting = true;
    bool known = false;
  };

  /// Neighbours in the linked list of a bucket. Stored apart from
  /// the workers, so that an update of the list reads less memory.
  struct Links {
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
  };

  std::vector<Worker> workers;
  std::vector<Links> links;
  std::vector<WorkerSpec> specs;
  std::vector<std::uint32_t> unused_handles;               ///< Handles of removed workers.
  std::unordered_map<std::string, std::uint32_t> handles;  ///< By worker id.
  std::array<std::unique_ptr<Grid>, kAcceleratorPools> grids;
  std::array<Scale, 2> scales;
  std::vector<Rack> racks;
  std::vector<Domain> domains;
  std::map<std::pair<std::string, std::string>, std::uint32_t> rack_numbers;
  std::map<std::string, std::uint32_t> domain_numbers;
  std::map<Resources, std::uint32_t> capacity_counts;  ///< Of workers with slots.
  Resources largest;  ///< Per dimension, over all workers ever known.
  Totals capacity;
  Totals used;
  std::uint64_t current_choice = 0;  ///< Number of the current choice; see `excluded_in_choice`.
  PlacementStats stats;

  [[nodiscard]] bool IsKnown(WorkerHandle worker) const {
    return worker.value < workers.size() && workers[worker.value].known;
  }

  // --- Adding, changing and removing workers ---

  std::uint32_t NewHandle() {
    if (unused_handles.empty()) {
      workers.emplace_back();
      links.emplace_back();
      specs.emplace_back();
      return static_cast<std::uint32_t>(workers.size() - 1);
    }
    const std::uint32_t handle = unused_handles.back();
    unused_handles.pop_back();
    workers[handle] = Worker{};
    return handle;
  }

  std::uint32_t DomainNumber(const std::string& name) {
    const auto [entry, added] =
        domain_numbers.try_emplace(name, static_cast<std::uint32_t>(domains.size()));
    if (added) domains.emplace_back();
    return entry->second;
  }

  std::uint32_t RackNumber(const WorkerSpec& spec) {
    const auto [entry, added] = rack_numbers.try_emplace({spec.failure_domain, spec.rack},
                                                         static_cast<std::uint32_t>(racks.size()));
    if (added) {
      const std::uint32_t domain = DomainNumber(spec.failure_domain);
      racks.emplace_back().domain = domain;
      domains[domain].racks.push_back(entry->second);
    }
    return entry->second;
  }

  /// Adds the capacity of a known worker to the totals and the worker to its rack and bucket.
  void Attach(std::uint32_t handle, const WorkerSpec& spec) {
    Worker& worker = workers[handle];
    worker.free += spec.capacity;
    worker.free_slots += static_cast<std::int32_t>(spec.slots);
    worker.rack = RackNumber(spec);
    worker.domain = racks[worker.rack].domain;
    racks[worker.rack].workers.push_back(handle);
    racks[worker.rack].is_stale = true;
    domains[worker.domain].used_slots += UsedSlots(worker, spec);
    capacity.Add(spec.capacity, spec.slots);
    if (spec.slots > 0) ++capacity_counts[spec.capacity];
    specs[handle] = spec;
    GrowScales(spec.capacity);
    MoveToBucket(handle);
  }

  /// Reverts `Attach`. The worker's free resources become the negative of what is reserved on it.
  void Detach(std::uint32_t handle) {
    Worker& worker = workers[handle];
    const WorkerSpec& spec = specs[handle];
    RemoveFromBucket(handle);
    Rack& rack = racks[worker.rack];
    std::erase(rack.workers, handle);
    rack.is_stale = true;
    domains[worker.domain].used_slots -= UsedSlots(worker, spec);
    capacity.Subtract(spec.capacity, spec.slots);
    if (const auto worker_capacity = capacity_counts.find(spec.capacity);
        worker_capacity != capacity_counts.end() && spec.slots > 0 &&
        --worker_capacity->second == 0) {
      capacity_counts.erase(worker_capacity);
    }
    worker.free -= spec.capacity;
    worker.free_slots -= static_cast<std::int32_t>(spec.slots);
  }

  static std::int64_t UsedSlots(const Worker& worker, const WorkerSpec& spec) {
    return static_cast<std::int64_t>(spec.slots) - worker.free_slots;
  }

  /// Adapts the levels to a larger capacity. Levels are steps of
  /// the largest capacity, so all workers move to other buckets.
  void GrowScales(const Resources& size) {
    if (size.processors_milli <= largest.processors_milli && size.memory_mb <= largest.memory_mb) {
      return;
    }
    for (std::uint32_t handle = 0; handle < workers.size(); ++handle) RemoveFromBucket(handle);
    largest.processors_milli = std::max(largest.processors_milli, size.processors_milli);
    largest.memory_mb = std::max(largest.memory_mb, size.memory_mb);
    scales[kProcessors].SetLargest(largest.processors_milli);
    scales[kMemory].SetLargest(largest.memory_mb);
    for (std::uint32_t handle = 0; handle < workers.size(); ++handle) MoveToBucket(handle);
  }

  // --- Buckets ---

  [[nodiscard]] BucketId BucketOf(const Worker& worker) const {
    BucketId bucket;
    if (!worker.known || !worker.accepting || worker.free_slots <= 0 ||
        !worker.free.Covers(Resources{})) {
      return bucket;
    }
    const auto pool = std::min<std::int64_t>(worker.free.accelerators, kAcceleratorPools - 1);
    bucket.pool = static_cast<std::uint8_t>(pool);
    bucket.plane = static_cast<std::uint8_t>(
        std::min<std::uint32_t>(static_cast<std::uint32_t>(worker.free_slots), kSlotPlanes));
    bucket.processors =
        static_cast<std::uint8_t>(scales[kProcessors].LevelOf(worker.free.processors_milli));
    bucket.memory = static_cast<std::uint8_t>(scales[kMemory].LevelOf(worker.free.memory_mb));
    return bucket;
  }

  void PutIntoBucket(std::uint32_t handle, const BucketId& bucket) {
    workers[handle].bucket = bucket;
    if (bucket.plane == 0) return;
    if (!grids[bucket.pool]) grids[bucket.pool] = std::make_unique<Grid>();
    Grid& grid = *grids[bucket.pool];
    std::uint32_t& head = grid.Head(bucket.plane, bucket.processors, bucket.memory);
    if (head == kNone) {
      grid.MarkUsed(bucket);
    } else {
      links[head].previous = handle;
    }
    links[handle] = {head, kNone};
    head = handle;
  }

  void RemoveFromBucket(std::uint32_t handle) {
    const BucketId bucket = std::exchange(workers[handle].bucket, BucketId{});
    if (bucket.plane == 0) return;
    const auto [next, previous] = links[handle];
    if (next != kNone) links[next].previous = previous;
    if (previous != kNone) {
      links[previous].next = next;
      return;
    }
    Grid& grid = *grids[bucket.pool];
    grid.Head(bucket.plane, bucket.processors, bucket.memory) = next;
    if (next == kNone) grid.MarkEmpty(bucket);
  }

  void MoveToBucket(std::uint32_t handle) {
    const BucketId bucket = BucketOf(workers[handle]);
    if (workers[handle].bucket == bucket) return;
    RemoveFromBucket(handle);
    PutIntoBucket(handle, bucket);
  }

  // --- Reservations ---

  void Reserve(std::uint32_t handle, const Resources& size) {
    Worker& worker = workers[handle];
    worker.free -= size;
    --worker.free_slots;
    used.Add(size, 1);
    RecordUsedSlots(worker, 1);
    MoveToBucket(handle);
  }

  void Release(std::uint32_t handle, const Resources& size) {
    Worker& worker = workers[handle];
    worker.free += size;
    ++worker.free_slots;
    used.Subtract(size, 1);
    RecordUsedSlots(worker, -1);
    MoveToBucket(handle);
  }

  void RecordUsedSlots(const Worker& worker, std::int64_t slots) {
    racks[worker.rack].is_stale = true;
    domains[worker.domain].used_slots += slots;
  }

  [[nodiscard]] bool Fits(const Worker& worker, const Resources& size) const {
    return worker.accepting && worker.free_slots > 0 && worker.free.Covers(size) &&
           worker.excluded_in_choice != current_choice;
  }

  // --- Choices ---

  /// Order in which a choice examines workers: those
  /// with the least free of the scarcest resource first.
  struct Order {
    bool slots_first = false;
    Axis axis = kProcessors;
  };

  [[nodiscard]] Order OrderByScarcity() const {
    const auto is_scarcer = [](const Usage& a, const Usage& b) {
      return a.used * b.capacity > b.used * a.capacity;
    };
    const Usage processors = {used.resources.processors_milli, capacity.resources.processors_milli};
    const Usage memory = {used.resources.memory_mb, capacity.resources.memory_mb};
    const Usage slots = {used.slots, capacity.slots};
    Order order;
    order.axis = is_scarcer(memory, processors) ? kMemory : kProcessors;
    order.slots_first = is_scarcer(slots, order.axis == kMemory ? memory : processors);
    return order;
  }

  /// Starts a choice and marks the workers that it excludes.
  void BeginChoice(std::span<const WorkerHandle> excluded) {
    ++current_choice;
    ++stats.choices;
    for (const WorkerHandle worker : excluded) {
      if (IsKnown(worker)) workers[worker.value].excluded_in_choice = current_choice;
    }
  }

  [[nodiscard]] std::uint32_t Choose(const PlacementQuery& query) {
    BeginChoice(query.excluded);
    return query.policy == SchedulingPolicy::kService ? ChooseSpread(query)
                                                      : ChoosePacked(query.size);
  }

  [[nodiscard]] std::uint32_t ChoosePacked(const Resources& size) {
    const Order order = OrderByScarcity();
    const auto first = std::clamp<std::int64_t>(size.accelerators, 0, kAcceleratorPools - 1);
    for (auto pool = static_cast<std::uint32_t>(first); pool < kAcceleratorPools; ++pool) {
      if (!grids[pool] || grids[pool]->IsEmpty()) continue;
      if (const std::uint32_t found = SearchPool(*grids[pool], order, size); found != kNone) {
        return found;
      }
    }
    return kNone;
  }

  [[nodiscard]] std::uint32_t SearchPool(Grid& grid, Order order, const Resources& size) {
    const std::array<std::uint32_t, 2> lowest_levels = {
        scales[kProcessors].LevelOf(size.processors_milli),
        scales[kMemory].LevelOf(size.memory_mb)};
    std::uint32_t budget = kMisfitBudget;
    if (const std::uint32_t found = Search(grid, order, size, lowest_levels, budget);
        found != kNone || budget > 0) {
      return found;
    }
    const std::array<std::uint32_t, 2> covering_levels = {
        scales[kProcessors].CoveringLevel(size.processors_milli),
        scales[kMemory].CoveringLevel(size.memory_mb)};
    budget = UINT32_MAX;
    if (const std::uint32_t found = Search(grid, order, size, covering_levels, budget);
        found != kNone) {
      return found;
    }
    return Search(grid, order, size, lowest_levels, budget);
  }

  /// @param from lowest levels to search.
  /// @param budget number of misfits that are allowed; reduced by each one, 0 when used up.
  [[nodiscard]] std::uint32_t Search(Grid& grid, Order order, const Resources& size,
                                     std::array<std::uint32_t, 2> from, std::uint32_t& budget) {
    std::uint32_t found = kNone;
    if (!order.slots_first) {
      grid.WalkColumns(order.axis, from, [&](std::uint32_t processors, std::uint32_t memory) {
        found = SearchColumn(grid, processors, memory, size, budget);
        return found != kNone || budget == 0;
      });
      return found;
    }
    for (std::uint32_t plane = 1; plane <= kSlotPlanes && found == kNone && budget > 0; ++plane) {
      grid.WalkPlane(plane, from, [&](std::uint32_t processors, std::uint32_t memory) {
        found = ScanBucket(grid.Head(plane, processors, memory), size, budget);
        return found != kNone || budget == 0;
      });
    }
    return found;
  }

  /// Searches the buckets of a column, the lowest number of free slots first.
  [[nodiscard]] std::uint32_t SearchColumn(Grid& grid, std::uint32_t processors,
                                           std::uint32_t memory, const Resources& size,
                                           std::uint32_t& budget) {
    for (std::uint32_t planes = grid.UsedPlanes(processors, memory); planes != 0 && budget > 0;
         planes &= planes - 1) {
      const auto plane = static_cast<std::uint32_t>(std::countr_zero(planes)) + 1;
      const std::uint32_t head = grid.Head(plane, processors, memory);
      if (const std::uint32_t found = ScanBucket(head, size, budget); found != kNone) return found;
    }
    return kNone;
  }

  [[nodiscard]] std::uint32_t ScanBucket(std::uint32_t head, const Resources& size,
                                         std::uint32_t& budget) {
    ++stats.buckets_examined;
    for (std::uint32_t handle = head; handle != kNone && budget > 0; handle = links[handle].next) {
      ++stats.workers_examined;
      if (Fits(workers[handle], size)) return handle;
      --budget;
    }
    return kNone;
  }

  // --- Services ---

  /// Adds `change` to the sibling counts of the workers and of their racks and domains.
  void CountSiblings(std::span<const WorkerHandle> siblings, std::uint32_t change) {
    for (const WorkerHandle sibling : siblings) {
      if (!IsKnown(sibling)) continue;
      Worker& worker = workers[sibling.value];
      worker.siblings += change;
      racks[worker.rack].siblings += change;
      domains[worker.domain].siblings += change;
    }
  }

  [[nodiscard]] std::uint32_t ChooseSpread(const PlacementQuery& query) {
    CountSiblings(query.siblings, 1);
    std::vector<std::uint32_t> order(domains.size());
    for (std::uint32_t i = 0; i < order.size(); ++i) order[i] = i;
    std::sort(order.begin(), order.end(), [this](std::uint32_t a, std::uint32_t b) {
      return std::tuple(domains[a].siblings, domains[a].used_slots, a) <
             std::tuple(domains[b].siblings, domains[b].used_slots, b);
    });
    std::uint32_t found = kNone;
    for (const std::uint32_t domain : order) {
      found = ChooseInDomain(domains[domain], query.size);
      if (found != kNone) break;
    }
    CountSiblings(query.siblings, UINT32_MAX);  // Wraps around: subtracts one.
    return found;
  }

  /// Tries the racks of a domain in ascending order of their siblings.
  [[nodiscard]] std::uint32_t ChooseInDomain(const Domain& domain, const Resources& size) {
    for (std::uint32_t siblings = 0; siblings != kNone;) {
      std::uint32_t next_siblings = kNone;
      for (const std::uint32_t number : domain.racks) {
        Rack& rack = racks[number];
        if (rack.siblings > siblings) next_siblings = std::min(next_siblings, rack.siblings);
        if (rack.siblings != siblings) continue;
        if (const std::uint32_t found = ChooseInRack(rack, size); found != kNone) return found;
      }
      siblings = next_siblings;
    }
    return kNone;
  }

  [[nodiscard]] std::uint32_t ChooseInRack(Rack& rack, const Resources& size) {
    if (rack.is_stale) UpdateFreeMaxima(rack);
    ++stats.buckets_examined;
    if (rack.max_free_slots <= 0 || !rack.max_free.Covers(size)) return kNone;
    std::uint32_t best = kNone;
    for (const std::uint32_t handle : rack.workers) {
      ++stats.workers_examined;
      if (!Fits(workers[handle], size)) continue;
      if (best == kNone || SpreadKey(handle) < SpreadKey(best)) best = handle;
    }
    return best;
  }

  [[nodiscard]] std::tuple<std::uint32_t, std::int64_t, std::int64_t> SpreadKey(
      std::uint32_t handle) const {
    const Worker& worker = workers[handle];
    return {worker.siblings, worker.free.processors_milli, worker.free.memory_mb};
  }

  /// Computes the maxima of the free capacity of a rack again.
  void UpdateFreeMaxima(Rack& rack) {
    rack.max_free = Resources{-1, -1, -1};
    rack.max_free_slots = 0;
    for (const std::uint32_t handle : rack.workers) {
      const Worker& worker = workers[handle];
      if (!worker.accepting) continue;
      rack.max_free_slots = std::max(rack.max_free_slots, worker.free_slots);
      Resources& max_values = rack.max_free;
      max_values.processors_milli =
          std::max(max_values.processors_milli, worker.free.processors_milli);
      max_values.memory_mb = std::max(max_values.memory_mb, worker.free.memory_mb);
      max_values.accelerators = std::max(max_values.accelerators, worker.free.accelerators);
    }
    rack.is_stale = false;
  }
};

WorkerIndex::WorkerIndex() : m_impl(std::make_unique<Impl>()) {}

WorkerIndex::~WorkerIndex() = default;

WorkerHandle WorkerIndex::Put(const WorkerSpec& spec) {
  const auto found = m_impl->handles.find(spec.id);
  if (found != m_impl->handles.end()) {
    m_impl->Detach(found->second);
    m_impl->Attach(found->second, spec);
    return WorkerHandle{found->second};
  }
  const std::uint32_t handle = m_impl->NewHandle();
  m_impl->handles.emplace(spec.id, handle);
  m_impl->workers[handle].known = true;
  m_impl->Attach(handle, spec);
  return WorkerHandle{handle};
}

void WorkerIndex::Remove(WorkerHandle worker) {
  if (!m_impl->IsKnown(worker)) return;
  m_impl->Detach(worker.value);
  Impl::Worker& entry = m_impl->workers[worker.value];
  // After `Detach`, the free resources are the negative of what was reserved.
  m_impl->used.resources += entry.free;
  m_impl->used.slots += entry.free_slots;
  entry.known = false;
  m_impl->handles.erase(m_impl->specs[worker.value].id);
  m_impl->unused_handles.push_back(worker.value);
}

std::optional<WorkerHandle> WorkerIndex::Find(const std::string& id) const {
  const auto found = m_impl->handles.find(id);
  if (found == m_impl->handles.end()) return std::nullopt;
  return WorkerHandle{found->second};
}

const WorkerSpec& WorkerIndex::Spec(WorkerHandle worker) const {
  return m_impl->specs.at(worker.value);
}

void WorkerIndex::SetAccepting(WorkerHandle worker, bool accepting) {
  if (!m_impl->IsKnown(worker)) return;
  m_impl->workers[worker.value].accepting = accepting;
  m_impl->racks[m_impl->workers[worker.value].rack].is_stale = true;
  m_impl->MoveToBucket(worker.value);
}

std::optional<WorkerHandle> WorkerIndex::Choose(const PlacementQuery& query) const {
  const std::uint32_t found = m_impl->Choose(query);
  if (found == kNone) return std::nullopt;
  return WorkerHandle{found};
}

std::vector<WorkerHandle> WorkerIndex::ChooseGang(const PlacementQuery& query,
                                                  std::uint32_t count) const {
  // Reserves the tasks one after another and releases them again at the end. As all have the same
  // size, a failure to place one means that they do not all fit.
  std::vector<WorkerHandle> chosen;
  std::vector<WorkerHandle> siblings(query.siblings.begin(), query.siblings.end());
  PlacementQuery next = query;
  while (chosen.size() < count) {
    next.siblings = siblings;
    const std::uint32_t found = m_impl->Choose(next);
    if (found == kNone) break;
    m_impl->Reserve(found, query.size);
    chosen.push_back(WorkerHandle{found});
    siblings.push_back(WorkerHandle{found});
  }
  for (auto worker = chosen.rbegin(); worker != chosen.rend(); ++worker) {
    m_impl->Release(worker->value, query.size);
  }
  if (chosen.size() < count) chosen.clear();
  return chosen;
}

void WorkerIndex::Reserve(WorkerHandle worker, const Resources& size) {
  if (m_impl->IsKnown(worker)) m_impl->Reserve(worker.value, size);
}

void WorkerIndex::Release(WorkerHandle worker, const Resources& size) {
  if (m_impl->IsKnown(worker)) m_impl->Release(worker.value, size);
}

Resources WorkerIndex::Free(WorkerHandle worker) const {
  return m_impl->IsKnown(worker) ? m_impl->workers[worker.value].free : Resources{};
}

std::uint32_t WorkerIndex::FreeSlots(WorkerHandle worker) const {
  if (!m_impl->IsKnown(worker)) return 0;
  return static_cast<std::uint32_t>(std::max(m_impl->workers[worker.value].free_slots, 0));
}

std::string WorkerIndex::InfeasibilityReason(const Resources& size) const {
  Resources max_values;
  for (const auto& [worker_capacity, count] : m_impl->capacity_counts) {
    if (worker_capacity.Covers(size)) return {};
    max_values.processors_milli =
        std::max(max_values.processors_milli, worker_capacity.processors_milli);
    max_values.memory_mb = std::max(max_values.memory_mb, worker_capacity.memory_mb);
    max_values.accelerators = std::max(max_values.accelerators, worker_capacity.accelerators);
  }
  if (m_impl->capacity_counts.empty()) return "no worker with slots is known";
  std::string reason;
  const auto compare = [&reason](std::int64_t needed, std::int64_t available, auto format) {
    if (needed <= available) return;
    if (!reason.empty()) reason += "; ";
    reason += "needs " + format(needed) + ", the most of any worker is " + format(available);
  };
  compare(size.processors_milli, max_values.processors_milli, FormatProcessors);
  compare(size.memory_mb, max_values.memory_mb, FormatMemory);
  compare(size.accelerators, max_values.accelerators, FormatAccelerators);
  return reason.empty() ? "no single worker has " + FormatSize(size) : reason;
}

std::vector<std::size_t> WorkerIndex::ChooseVictims(
    const Resources& size, std::span<const PreemptionCandidate> candidates) const {
  std::map<std::uint32_t, std::vector<std::size_t>> by_worker;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WorkerHandle worker = candidates[i].worker;
    if (!m_impl->IsKnown(worker) || !m_impl->workers[worker.value].accepting) continue;
    by_worker[worker.value].push_back(i);
  }
  VictimSearch search(size, candidates);
  for (auto& [handle, indexes] : by_worker) {
    const Impl::Worker& worker = m_impl->workers[handle];
    search.SearchWorker(std::move(indexes), worker.free, worker.free_slots);
  }
  return search.Best();
}

const PlacementStats& WorkerIndex::Stats() const { return m_impl->stats; }

}  // namespace citronsill
