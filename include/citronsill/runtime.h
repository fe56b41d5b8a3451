/// Threads and event loop of a process.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace boost::asio {
class io_context;
}

namespace citronsill {

/// Runs the event loop on a fixed number of threads.
class Runtime {
 public:
  /// @param threads number of threads, 1 to 64.
  /// @returns CODE_INVALID_FIELD for another number.
  static Result<std::unique_ptr<Runtime>> Create(unsigned threads);
  ~Runtime();

  /// Starts the threads and returns.
  void Start();

  /// Runs the event loop on the calling thread only, until `Stop` is called on that thread.
  void Run();

  /// Stops the event loop and joins the threads.
  void Stop();

  /// Runs `work` later on one of the threads of the event loop.
  void Post(std::function<void()> work);

  /// Calls `handler` with the signal number for every SIGINT or SIGTERM that arrives.
  void OnTerminate(std::function<void(int)> handler);

  /// Calls `handler` whenever SIGHUP arrives.
  void OnReload(std::function<void()> handler);

  /// Starts the threads, waits for SIGINT or SIGTERM, and stops.
  void RunUntilTerminated();

  /// @returns the event loop, for modules that use Asio.
  boost::asio::io_context& Context();

 private:
  struct Impl;
  explicit Runtime(unsigned threads);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
