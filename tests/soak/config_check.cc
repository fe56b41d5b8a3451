#include "config_check.h"

#include <fmt/format.h>

namespace citronsill::soak {
namespace {

// The bounds are from the platform's rules. A change has to be in force within this time.
constexpr milliseconds kChangeTime{2000};
// Instances are held to that when they have not been disrupted for this long.
constexpr milliseconds kContactTime{3000};
// A process may take this long to end after SIGTERM, and is started again then.
constexpr milliseconds kTerminationGrace{6000};
constexpr milliseconds kCallTimeout{3000};

milliseconds Between(SteadyTime from, SteadyTime to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

}  // namespace

ConfigCheck::ConfigCheck(Platform* platform, const Processes& processes)
    : m_platform(platform), m_processes(processes), m_start(platform->loop.Now()) {}

Result<std::unique_ptr<ConfigCheck>> ConfigCheck::Create(Runtime& runtime, Platform* platform,
                                                         const Processes& processes) {
  std::unique_ptr<ConfigCheck> created(new ConfigCheck(platform, processes));
  for (const std::string& entry : processes.EntryAddresses()) {
    HttpClientOptions options;
    options.address = entry;
    options.max_idle = kContactTime;
    BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, options));
    created->m_clients.push_back(std::move(client));
  }
  return created;
}

void ConfigCheck::CheckAll() {
  for (const auto& instance : m_processes.instances) {
    if (IsDue(*instance)) Check(*instance);
  }
}

bool ConfigCheck::IsDue(const Processes::Instance& instance) const {
  const SteadyTime now = m_platform->loop.Now();
  const auto checked = m_checked.find(instance.number);
  if (checked != m_checked.end() && checked->second == m_platform->ConfigVersion()) return false;
  if (instance.pid == 0 || instance.frozen || now < m_start + 2 * kContactTime) return false;
  if (instance.terminated_at && now < *instance.terminated_at + kTerminationGrace + kContactTime)
    return false;
  return now >= m_platform->disruptions.configured_at + kChangeTime &&
         now >= m_platform->disruptions.any_until + kContactTime;
}

void ConfigCheck::Check(const Processes::Instance& instance) {
  HttpRequest request;
  const std::uint64_t version = m_platform->ConfigVersion();
  request.target = "/" + Platform::NewestQueue(version) + "/";
  request.host = "cell.example";
  const SteadyTime sent = m_platform->loop.Now();
  m_clients[static_cast<std::size_t>(instance.number)]->Send(
      std::move(request), kCallTimeout,
      [this, number = instance.number, version, sent](const Result<HttpResponse>& result) {
        // Calls that are not answered are checked elsewhere.
        if (!result || version != m_platform->ConfigVersion()) return;
        if (m_checked[number] == version || m_platform->disruptions.unplanned_until > sent) return;
        m_checked[number] = version;
        // An entry that cannot tell whether a queue exists says so with 504.
        const bool is_unsure = result.value().body.find("out of date") != std::string::npos;
        if (result.value().status != 404 && !is_unsure) {
          ++m_served;
          return;
        }
        m_platform->history.violations.push_back(fmt::format(
            "n-{} does not serve version {} of the configuration, {} ms after the "
            "change and {} ms after the last disruption",
            number, version, Between(m_platform->disruptions.configured_at, sent).count(),
            Between(m_platform->disruptions.any_until, sent).count()));
      });
}

}  // namespace citronsill::soak
