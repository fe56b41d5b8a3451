/// Internals of the library: large headers, coroutine helpers and small utilities. Private to src/
/// and tools/; also used as the precompiled header.
#pragma once

#include <google/protobuf/util/json_util.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "citronsill/codec.h"
#include "citronsill/config.h"
#include "citronsill/result.h"
#include "citronsill/runtime.h"
#include "citronsill/types.h"
#include "net.h"
#include "schema/citronsill.pb.h"

namespace citronsill {

template <class T>
using Task = asio::awaitable<T>;

/// Awaits a function that takes a callback for its result.
/// @param start is called with the callback; the callback may run on any thread, at most once.
template <class T, class Start>
Task<Result<T>> AwaitResult(Start start) {
  auto executor = co_await asio::this_coro::executor;
  // Named closures, because GCC 12 destroys closures that are temporaries of a co_await expression
  // twice.
  auto initiate = [executor, start = std::move(start)](auto handler) mutable {
    using Handler = decltype(handler);
    auto shared = std::make_shared<Handler>(std::move(handler));
    start([shared, executor](Result<T> result) {
      asio::post(executor,
                 [shared, result = std::move(result)]() mutable { (*shared)(std::move(result)); });
    });
  };
  auto result = co_await asio::async_initiate<decltype(asio::use_awaitable), void(Result<T>)>(
      std::move(initiate), asio::use_awaitable);
  co_return result;
}

/// Awaits a delay.
inline Task<void> Sleep(std::chrono::milliseconds delay) {
  asio::steady_timer timer(co_await asio::this_coro::executor, delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace citronsill
