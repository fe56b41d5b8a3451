/// Limits and fixed intervals of the library. The unit of each constant is in its type or name.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace citronsill {

// Sizes of messages.
inline constexpr std::size_t kMaxHttpBodyBytes = 1U << 20;
inline constexpr std::size_t kMaxHttpHeaderBytes = 8U << 10;
// Responses of the table service may contain many rows.
inline constexpr std::size_t kMaxHttpAnswerBytes = 64U << 20;
// An answer that keeps arriving may take this long.
inline constexpr std::chrono::milliseconds kMaxHttpAnswerTime{30000};
inline constexpr std::size_t kMaxPeerFrameBytes = 1U << 20;
inline constexpr int kMaxJsonDepth = 32;

// Sizes of single fields of a request.
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxKeyBytes = 256;
inline constexpr std::size_t kMaxPayloadBytes = 256U << 10;
inline constexpr std::uint32_t kMaxTaskCount = 1024;

// Connections.
inline constexpr std::size_t kMaxHttpConnections = 2048;
inline constexpr std::size_t kMaxPeerConnections = 256;
// Memory that the process itself takes for an HTTP connection without a request, as the budget
// counts it. Measured: 5.2 KB for an idle one (1,300 of them took 6.8 MB).
inline constexpr std::size_t kHttpConnectionBytes = 6U << 10;
// Memory of the parsed fields of a header for each of its bytes, with fields as small as they can
// be. Measured: 130 KB for a header of 8,000 bytes.
inline constexpr std::size_t kHttpFieldFactor = 16;
inline constexpr std::chrono::seconds kHttpReadTimeout{10};
inline constexpr std::chrono::seconds kHttpIdleTimeout{60};
inline constexpr std::chrono::seconds kHttpWriteTimeout{10};
inline constexpr std::chrono::seconds kPeerIdleTimeout{30};
inline constexpr std::chrono::milliseconds kConnectTimeout{1000};

// Timeouts of calls to other systems.
inline constexpr std::chrono::milliseconds kTableTimeout{2000};  // Also for the object store.
inline constexpr std::chrono::milliseconds kDirectoryTimeout{2000};
inline constexpr std::chrono::milliseconds kWorkerTimeout{2000};
inline constexpr std::chrono::milliseconds kPeerTimeout{1000};

// Periods of background tasks.
inline constexpr std::chrono::milliseconds kGossipPeriod{500};
inline constexpr std::chrono::milliseconds kOwnershipPeriod{500};
inline constexpr std::chrono::milliseconds kHeartbeatPeriod{2000};
inline constexpr std::chrono::milliseconds kDirectoryPeriod{2000};
inline constexpr std::chrono::milliseconds kWorkerSyncWait{1000};
inline constexpr std::chrono::milliseconds kIdleWorkerSyncWait{2000};
inline constexpr std::chrono::milliseconds kDispatchPeriod{50};
inline constexpr std::chrono::milliseconds kDeliverRetryPeriod{300};

// Limits on what an instance keeps in memory.
inline constexpr std::size_t kMaxPendingRequests = 20000;
inline constexpr std::size_t kMaxFinishedRequests = 20000;
inline constexpr std::size_t kGossipFanout = 2;  // An update reaches 30 members in about 3 periods.
inline constexpr std::size_t kMaxJournalBatchEntries = 256;
inline constexpr std::size_t kStateShards = 16;

// Maximum size of a journal row, which only a single larger entry may exceed. A larger snapshot
// goes to the object store.
inline constexpr std::size_t kMaxJournalRowBytes = 64U << 10;
// Number of rows at which an instance compacts its own stream: about 10 s of group commits at the
// full rate of one per 10 ms, the default journal_interval.
inline constexpr std::size_t kMaxJournalRows = 1024;
// How long ended requests are kept, so that a repeated key is recognized.
inline constexpr std::chrono::minutes kFinishedRetention{10};

// A longer gap between two ticks of a timer means that the process was paused. Ownership must then
// be confirmed again before anything that depends on it.
inline constexpr std::chrono::milliseconds kPauseThreshold{2000};

}  // namespace citronsill
