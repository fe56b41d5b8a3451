/// One instance, assembled from the modules of the library.
#pragma once

#include <functional>
#include <memory>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

class Instance {
 public:
  /// @param settings validated settings.
  static Result<std::unique_ptr<Instance>> Create(Runtime& runtime,
                                                  const schema::Settings& settings);
  ~Instance();

  /// Sets the callback for an operator's drain request. Call it before the runtime starts.
  void OnDrainRequest(std::function<void()> handler);

  /// Accepts nothing new, finishes what is in progress, and hands over its partitions.
  /// @param done is called when nothing is left, or when the partitions were not taken over in
  /// time. A repeated call does not restart the draining.
  void Drain(std::function<void()> done);

 private:
  struct Impl;
  explicit Instance(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
