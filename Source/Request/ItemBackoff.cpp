#include "Request/ItemBackoff.h"

#include <algorithm>

namespace poplardock::ItemBackoff {

namespace {

constexpr Milliseconds FIRST_BACKOFF { 300 };
constexpr int MAXIMUM_LOSS_DOUBLINGS = 3;
constexpr int MAXIMUM_UNUSABLE_DOUBLINGS = 7;

auto doubled(int losses, int maximumDoublings) -> Milliseconds
{
    return FIRST_BACKOFF * (1 << std::clamp(losses - 1, 0, maximumDoublings));
}

} // namespace

auto afterLoss(int losses) -> Milliseconds
{
    return doubled(losses, MAXIMUM_LOSS_DOUBLINGS);
}

auto afterUnusableAnswer(int losses) -> Milliseconds
{
    return doubled(losses, MAXIMUM_UNUSABLE_DOUBLINGS);
}

} // namespace poplardock::ItemBackoff
