/// Settings of a node and configuration of a cell, independent of the platform. The platform
/// adapter fills them in.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/connection_limits.h"
#include "cell/customers.h"
#include "cell/store.h"
#include "cell/worker.h"
#include "citronsill/http.h"
#include "schema/cell.pb.h"

namespace citronsill {

struct NodeSettings {
  std::string instance;
  std::string failure_domain;
  std::string region;
  std::string ingress_address;          ///< IP:port for callers.
  std::string readiness_address;        ///< IP:port for the load balancer; empty for none.
  std::string link_address;             ///< IP:port to listen on for other instances.
  std::string link_advertised_address;  ///< IP:port at which other instances reach this one.
  std::string metrics_address;          ///< IP:port; empty for none.
  std::vector<std::string> seeds;  ///< Link addresses of some other instances; may be out of date.
  std::uint32_t strength_milli = 1000;  ///< Processor share in thousandths of a core.
  std::uint32_t link_mbps = 0;          ///< Network bandwidth in Mbit/s; 0 when unknown.
  std::string log_level = "info";
  milliseconds max_lease{5000};        ///< Longest lease that workers grant.
  milliseconds gang_time{3000};        ///< How long members of a gang wait for the others.
  milliseconds keep_finished{120000};  ///< How long the state of an ended job can be queried.
  /// A worker gets no new task from this long after it announced that it drains.
  milliseconds worker_drain{4000};
  milliseconds drain_time{4000};  ///< Time from SIGTERM until the process must have ended.
  LimitSettings limits;           ///< Limits on connections.
};

/// One version of the configuration. Immutable.
struct CellConfig {
  std::uint64_t version = 0;
  std::vector<schema::QueueSpec> queues;
  HttpLimits limits;  ///< Limits on callers' requests.
  /// Never null; empty where calls need no key.
  CustomerDirectoryPtr customers = CustomerDirectory::Create({});
  std::string text;  ///< Original text. With customers, it has their keys.
  /// The text without the customers' keys, for other instances; empty if it is `text` itself.
  std::string text_without_keys;
  /// Whether `text` is such a text of another instance: `customers` have no keys then.
  bool keys_are_removed = false;
};
using CellConfigPtr = std::shared_ptr<const CellConfig>;

/// @returns the queue of the host with the longest prefix that matches `path`, null when there is
/// none.
const schema::QueueSpec* FindQueue(const CellConfig& config, std::string_view host,
                                   std::string_view path);

/// Services of the platform that a node uses. The store outlives the node.
struct PlatformServices {
  std::unique_ptr<RowStore> store;
  WorkerLinkFactory make_worker_link;
  AskAdvice ask_advice;  ///< Empty when there is no policy service.
  /// Table and part of the list of workers. `read_worker` decodes a row; it returns none when the
  /// row does not describe a usable worker.
  RowKey worker_table;
  std::function<std::optional<WorkerDescription>(const Row&)> read_worker;
  /// @returns a hash of a row of the list without the fields that change with each heartbeat.
  std::function<std::uint64_t(const Row&)> worker_digest;
  /// Row of the configuration and the function that parses it.
  RowKey config_row;
  std::function<Result<CellConfigPtr>(const std::string& text)> read_config;
};

}  // namespace citronsill
