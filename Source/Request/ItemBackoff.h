#pragma once

#include "Process/Clock.h"

namespace poplardock::ItemBackoff {

/// Times from the end of an attempt at a batch item to the next one. An item is run again however often its attempts fail: it is owed
/// until it is given up.
/// Preconditions: "losses", 1 or more, counts the attempts in a row, the last one included, that brought the item no further.
/// Thread-safe.

/// After an attempt that broke off: another upstream most likely completes the item soon.
auto afterLoss(int losses) -> Milliseconds;
/// After an answer that cannot be used: bytes that are no text, or a text that the item does not allow or the store does not take. When
/// that happens again and again, it lies with the item, and each further attempt takes a slot from others for nothing.
auto afterUnusableAnswer(int losses) -> Milliseconds;

} // namespace poplardock::ItemBackoff
