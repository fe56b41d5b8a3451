// citronsilld: daemon that runs one entry instance.
#include <atomic>
#include <boost/program_options.hpp>
#include <condition_variable>
#include <iostream>
#include <mutex>

#include <spdlog/spdlog.h>
#include "citronsill/instance.h"
#include "citronsill/log.h"
#include "citronsill/runtime.h"
#include "citronsill/settings.h"
#include "schema/citronsill.pb.h"

namespace options = boost::program_options;

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

int Run(const citronsill::schema::Settings& settings) {
  if (auto log = citronsill::ConfigureLog(settings.instance_id(), settings.log_level()); !log) {
    std::cerr << citronsill::Describe(log.error()) << '\n';
    return kExitSettings;
  }
  auto runtime = citronsill::Runtime::Create(settings.threads());
  if (!runtime) {
    std::cerr << citronsill::Describe(runtime.error()) << '\n';
    return kExitSettings;
  }
  auto instance = citronsill::Instance::Create(*runtime.value(), settings);
  if (!instance) {
    std::cerr << citronsill::Describe(instance.error()) << '\n';
    return kExitSettings;
  }
  std::mutex mutex;
  std::condition_variable changed;
  bool drained = false;
  std::atomic<bool> draining{false};
  const auto drain = [&] {
    if (draining.exchange(true)) return;  // A second request does not interrupt the drain.
    instance.value()->Drain([&] {
      std::lock_guard lock(mutex);
      drained = true;
      changed.notify_all();
    });
  };
  instance.value()->OnDrainRequest(drain);
  runtime.value()->OnTerminate([&](int number) {
    spdlog::info("event=signal number={} draining={}", number, draining.load());
    drain();
  });
  runtime.value()->Start();
  spdlog::info("event=started api={} peer={}", settings.api_address(), settings.peer_address());
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return drained; });
  lock.unlock();
  spdlog::info("event=stopped");
  runtime.value()->Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("citronsilld: an entry instance of citronsill");
  description.add_options()("help", "show this text")("settings", options::value<std::string>(),
                                                      "settings file, JSON with comments");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
  } catch (const options::error& error) {
    std::cerr << "citronsilld: " << error.what() << '\n';
    return kExitUsage;
  }
  if (values.contains("help") || !values.contains("settings")) {
    std::cout << description;
    return values.contains("help") ? 0 : kExitUsage;
  }
  auto settings = citronsill::LoadSettings(values["settings"].as<std::string>());
  if (!settings) {
    std::cerr << citronsill::Describe(settings.error()) << '\n';
    return kExitSettings;
  }
  return Run(settings.value());
}
