#include "cell/succession.h"

#include <algorithm>
#include <utility>

#include "cell/limits.h"

namespace citronsill {

namespace {

std::vector<std::uint64_t> SupportersAmong(const std::vector<std::string>& list,
                                           const std::vector<Successor>& successors) {
  std::vector<std::uint64_t> supporters;
  for (const std::string& name : list) {
    if (supporters.size() == kMaxSupporters) break;
    const auto found =
        std::find_if(successors.begin(), successors.end(), [&name](const Successor& successor) {
          return successor.instance == name && successor.gives_support;
        });
    if (found != successors.end()) supporters.push_back(found->incarnation);
  }
  return supporters;
}

}  // namespace

Succession::Succession(Clock now, std::function<std::vector<Successor>()> gather)
    : m_now(std::move(now)), m_gather(std::move(gather)) {}

void Succession::Refresh() {
  const SteadyTime now = m_now();
  if (now < m_refresh_at) return;
  m_refresh_at = now + kSuccessionPeriod;
  const std::vector<Successor> successors = m_gather();
  std::vector<std::string> list = OrderSuccessors(successors);
  m_supporters = SupportersAmong(list, successors);
  if (list.size() > kMaxSuccessors) list.resize(kMaxSuccessors);
  if (list == m_list) return;
  m_list = std::move(list);
  ++m_version;
}

const std::vector<std::string>* Succession::ListFor(const void* peer) {
  Refresh();
  if (m_list.empty()) return nullptr;
  const SteadyTime now = m_now();
  Sent& sent = m_sent[peer];
  if (sent.version == m_version && now < sent.at + kSuccessionRepeat) return nullptr;
  sent = {m_version, now};
  return &m_list;
}

const std::vector<std::uint64_t>& Succession::Supporters() {
  Refresh();
  return m_supporters;
}

milliseconds Succession::PingPeriod(const std::string& instance) {
  Refresh();
  const bool is_successor = std::find(m_list.begin(), m_list.end(), instance) != m_list.end();
  return is_successor ? kPingPeriod : kUnlistedPingPeriod;
}

bool ConfigPushes::IsDue(const void* link, std::uint64_t version, const Peer& peer) {
  if (peer.is_receiving) return false;
  const SteadyTime now = m_now();
  if (peer.reaches_store && now < m_changed_at + kConfigPushAfter) return false;
  if (peer.reaches_store && peer.may_be_old) {
    const SteadyTime since = m_reading.try_emplace(link, now).first->second;
    if (now < since + kOldConfigPushAfter) return false;
  }
  return std::exchange(m_pushed[link], version) != version;
}

}  // namespace citronsill
