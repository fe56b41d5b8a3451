#include "cell/store_paths.h"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "cell/limits.h"

namespace citronsill {

std::optional<milliseconds> StorePaths::Latency(std::uint64_t incarnation) const {
  const auto found = m_records.find(incarnation);
  if (found == m_records.end() || found->second.answered == SteadyTime{}) return std::nullopt;
  if (m_now() > found->second.answered + kRelayMemory) return std::nullopt;
  return found->second.mean;
}

milliseconds StorePaths::Expected(const RelayPeer& peer) const {
  if (const auto latency = Latency(peer.incarnation); latency) return *latency;
  const std::uint32_t strength = std::clamp(peer.strength_milli, 1U, kFullStrengthMilli);
  return kAssumedRelayLatency * kFullStrengthMilli / strength;
}

SteadyTime StorePaths::AvoidUntil(std::uint64_t incarnation) const {
  const auto found = m_records.find(incarnation);
  if (found == m_records.end() || found->second.avoid_until <= m_now()) return {};
  return found->second.avoid_until;
}

std::vector<std::size_t> StorePaths::Order(const std::vector<RelayPeer>& peers) const {
  std::vector<std::size_t> order(peers.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto key = [&](std::size_t index) {
    const RelayPeer& peer = peers[index];
    return std::tuple(AvoidUntil(peer.incarnation), !peer.reports_store, Expected(peer),
                      peer.incarnation);
  };
  std::sort(order.begin(), order.end(),
            [&key](std::size_t a, std::size_t b) { return key(a) < key(b); });
  return order;
}

milliseconds StorePaths::HedgeAfter(std::uint64_t incarnation) const {
  const auto latency = Latency(incarnation);
  if (!latency) {
    const bool is_recent = m_last_answer != SteadyTime{} && m_now() <= m_last_answer + kRelayMemory;
    const milliseconds usual = is_recent ? 2 * m_last_took : milliseconds(0);
    return std::clamp(usual, kUnknownRelayHedge, kMaxRelayHedge);
  }
  return std::clamp(2 * *latency, kMinRelayHedge, kMaxRelayHedge);
}

// Forgets the peer that was used the longest time ago when there are too many.
StorePaths::Record& StorePaths::Touch(std::uint64_t incarnation) {
  if (!m_records.contains(incarnation) && m_records.size() >= kMaxRelayRecords) {
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](auto& a, auto& b) {
      return a.second.touched < b.second.touched;
    }));
  }
  Record& record = m_records[incarnation];
  record.touched = m_now();
  return record;
}

void StorePaths::OnAnswer(std::uint64_t incarnation, milliseconds took) {
  const bool is_recent = Latency(incarnation).has_value();
  Record& record = Touch(incarnation);
  // The mean follows an increase soon, so that a path that has become slow is left.
  if (!is_recent) {
    record.mean = took;
  } else if (took > record.mean) {
    record.mean = (record.mean + took) / 2;
  } else {
    record.mean += (took - record.mean) / kLatencyWindow;
  }
  record.answered = m_now();
  m_last_took = took;
  m_last_answer = m_now();
  record.failures = 0;
  record.avoid_until = {};
}

void StorePaths::OnFailure(std::uint64_t incarnation) {
  Record& record = Touch(incarnation);
  const std::uint32_t doublings = std::min(record.failures++, kMaxRelayAvoidDoublings);
  record.avoid_until = m_now() + kRelayAvoid * (1 << doublings);
}

void StorePaths::OnOverdue(std::uint64_t incarnation) {
  Record& record = Touch(incarnation);
  record.avoid_until = std::max(record.avoid_until, m_now() + kRelayAvoid);
}

}  // namespace citronsill
