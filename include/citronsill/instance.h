/// One entry instance: the modules of the library put together.
#pragma once

#include <functional>
#include <memory>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

class Instance {
 public:
  /// @param settings checked settings.
  static Result<std::unique_ptr<Instance>> Create(Runtime& runtime,
                                                  const schema::Settings& settings);
  ~Instance();

  /// Sets what is called when an operator asks for draining. Before the runtime starts only.
  void OnDrainRequest(std::function<void()> handler);

  /// Takes nothing new, finishes what is in progress, hands partitions over.
  /// @param done is called when nothing is left. A second call changes nothing.
  void Drain(std::function<void()> done);

 private:
  struct Impl;
  explicit Instance(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
