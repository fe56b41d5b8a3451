/// The cases that are shown with scripts. Each returns the exit code: 1 when a rule was broken, 0
/// when all held, 2 when the case could not run.
#pragma once

#include "cell.h"

namespace review {

/// `finish_s` after the end of the traffic, asks all nodes for all accepted jobs. LOST: one is not
/// known, or gets no answer in time.
/// @returns the exit code.
int AskAll(Cell* cell);

int RunPaths(const Options& options);
int RunRow(const Options& options);
int RunLong(const Options& options);
int RunPartition(const Options& options);
int RunKind(const Options& options);

}  // namespace review
