/// Settings of a node and the configuration of a cell, as the product sees them. The adapter of a
/// platform fills them in.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
  std::string link_address;             ///< IP:port that it listens on for other instances.
  std::string link_advertised_address;  ///< IP:port at which they reach it.
  std::string metrics_address;          ///< IP:port; empty for none.
  std::vector<std::string> seeds;  ///< Link addresses of some other instances; may be out of date.
  std::uint32_t strength_milli = 1000;  ///< Processor share of this instance, in thousandths.
  std::uint32_t link_mbps = 0;          ///< Bandwidth of its link in Mbit/s; 0 when not known.
  std::string log_level = "info";
  milliseconds max_lease{5000};        ///< Longest lease that workers grant.
  milliseconds gang_time{3000};        ///< Members of a gang wait this long for the others.
  milliseconds keep_finished{120000};  ///< The state of an ended job can be asked for this long.
  milliseconds drain_time{4000};       ///< From SIGTERM until the process has to be gone.
};

/// A version of the configuration. Never changed after it was made.
struct CellConfig {
  std::uint64_t version = 0;
  std::vector<schema::QueueSpec> queues;
  HttpLimits limits;  ///< Of callers' requests.
  std::string text;   ///< As it was written, to be passed on to other instances.
};
using CellConfigPtr = std::shared_ptr<const CellConfig>;

/// @returns the queue of the host whose prefix is the longest that `path` begins with, null when
/// there is none.
const schema::QueueSpec* FindQueue(const CellConfig& config, std::string_view host,
                                   std::string_view path);

/// What a platform offers to a node. The store outlives the node.
struct PlatformServices {
  std::unique_ptr<RowStore> store;
  WorkerLinkFactory make_worker_link;
  AskAdvice ask_advice;  ///< Empty when there is no policy service.
  /// Table and part of the list of workers, and how a row of it is read; none for a row that names
  /// no worker that can be used.
  RowKey worker_table;
  std::function<std::optional<WorkerDescription>(const Row&)> read_worker;
  /// Row of the configuration, and how it is read.
  RowKey config_row;
  std::function<Result<CellConfigPtr>(const std::string& text)> read_config;
};

}  // namespace citronsill
