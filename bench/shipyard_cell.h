/// Model of a busy shipyard cell, shared by the placement tests and benchmarks.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/placement.h"

namespace citronsill {

// Sizes of the tasks: a fairing run, a lashing check and a cut list.
inline constexpr Resources kFairing{8000, 16384, 0};
inline constexpr Resources kLashingCheck{2000, 2048, 0};
inline constexpr Resources kCutList{1000, 512, 0};
inline constexpr std::array<Resources, 3> kShipyardMix = {kFairing, kLashingCheck, kCutList};
inline constexpr Resources kShipyardCapacity{16000, 32768, 0};
inline constexpr std::uint32_t kShipyardSlots = 8;

inline WorkerSpec ShipyardWorker(std::uint32_t number) {
  constexpr std::uint32_t kPerRack = 8;
  constexpr std::uint32_t kDomains = 3;
  WorkerSpec spec;
  spec.id = "worker-" + std::to_string(number);
  spec.rack = "rack-" + std::to_string(number / kPerRack);
  spec.failure_domain = "domain-" + std::to_string(number / kPerRack % kDomains);
  spec.capacity = kShipyardCapacity;
  spec.slots = kShipyardSlots;
  return spec;
}

/// Deterministic random numbers, generated without a division.
class Random {
 public:
  std::size_t Below(std::size_t bound) {
    m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return ((m_state >> 32) * bound) >> 32;
  }

 private:
  std::uint64_t m_state = 7;
};

/// Used fractions of processors, memory and slots.
using Shares = std::array<double, 3>;

/// A cell with a queue of constant length. Waiting tasks start in order; those that do not fit are
/// overtaken by later ones. Each started task is replaced by a new one at the end of the queue.
class ShipyardCell {
 public:
  using Weights = std::array<std::size_t, 3>;

  /// @param weights of fairing runs, lashing checks and cut lists among the waiting tasks.
  /// @param depth number of waiting tasks.
  ShipyardCell(std::uint32_t workers, const Weights& weights, std::size_t depth)
      : m_weights(weights), m_workers(workers) {
    for (std::uint32_t i = 0; i < workers; ++i) m_index.Put(ShipyardWorker(i));
    for (std::size_t i = 0; i < depth; ++i) m_waiting.push_back(NextKind());
    Start();
  }

  /// Ends a random running task and starts waiting ones, `steps` times.
  void Run(std::size_t steps) {
    for (std::size_t i = 0; i < steps; ++i) {
      auto& ended = m_running[m_random.Below(m_running.size())];
      m_index.Release(ended.first, kShipyardMix[ended.second]);
      m_used -= kShipyardMix[ended.second];
      ended = m_running.back();
      m_running.pop_back();
      Start();
    }
  }

  [[nodiscard]] Shares UsedShares() const {
    return SharesOf(static_cast<double>(m_used.processors_milli),
                    static_cast<double>(m_used.memory_mb), static_cast<double>(m_running.size()));
  }

  /// @returns the index of the share that the mix uses up first; it bounds the volume.
  [[nodiscard]] std::size_t Scarcest() const {
    Shares need{};
    for (std::size_t kind = 0; kind < need.size(); ++kind) {
      const auto weight = static_cast<double>(m_weights[kind]);
      const Resources& size = kShipyardMix[kind];
      const Shares added = SharesOf(weight * static_cast<double>(size.processors_milli),
                                    weight * static_cast<double>(size.memory_mb), weight);
      for (std::size_t i = 0; i < need.size(); ++i) need[i] += added[i];
    }
    return static_cast<std::size_t>(std::max_element(need.begin(), need.end()) - need.begin());
  }

  WorkerIndex& Index() { return m_index; }

 private:
  [[nodiscard]] Shares SharesOf(double processors, double memory, double slots) const {
    return {processors / (static_cast<double>(kShipyardCapacity.processors_milli) * m_workers),
            memory / (static_cast<double>(kShipyardCapacity.memory_mb) * m_workers),
            slots / (static_cast<double>(kShipyardSlots) * m_workers)};
  }

  std::size_t NextKind() {
    std::size_t pick = m_random.Below(m_weights[0] + m_weights[1] + m_weights[2]);
    std::size_t kind = 0;
    while (pick >= m_weights[kind]) pick -= m_weights[kind++];
    return kind;
  }

  void Start() {
    std::array<bool, 3> cannot_place{};
    for (std::size_t i = 0; i < m_waiting.size();) {
      const std::size_t kind = m_waiting[i];
      if (cannot_place[0] && cannot_place[1] && cannot_place[2]) return;
      if (cannot_place[kind] || !Place(kind)) {
        cannot_place[kind] = true;
        ++i;
        continue;
      }
      m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(i));
      m_waiting.push_back(NextKind());
    }
  }

  bool Place(std::size_t kind) {
    const auto worker = m_index.Choose({.size = kShipyardMix[kind]});
    if (!worker) return false;
    m_index.Reserve(*worker, kShipyardMix[kind]);
    m_used += kShipyardMix[kind];
    m_running.emplace_back(*worker, kind);
    return true;
  }

  Weights m_weights;
  std::uint32_t m_workers;
  WorkerIndex m_index;
  Random m_random;
  std::deque<std::size_t> m_waiting;
  std::vector<std::pair<WorkerHandle, std::size_t>> m_running;
  Resources m_used;
};

}  // namespace citronsill
