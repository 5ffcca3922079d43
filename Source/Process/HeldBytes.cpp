#include "Process/HeldBytes.h"

#include "Process/EventLog.h"

namespace poplardock {

namespace {

constexpr Milliseconds LOG_PERIOD { 1000 };
constexpr std::uint64_t BOUND_DIVISOR = 2;
constexpr std::uint64_t RESERVE_DIVISOR = 4;
/// On the smallest VM, 112 MB, a small request has a body of up to about 50 KiB; the reserve takes 64 of them.
constexpr std::uint64_t SMALL_DIVISOR = 256;

} // namespace

auto chooseHoldingToEnd(const std::vector<Holding> &holdings, BootTime now, Milliseconds patience) -> std::optional<std::size_t>
{
    std::optional<std::size_t> worst;
    double most = 0;
    for (std::size_t index = 0; index < holdings.size(); ++index) {
        const Holding &holding = holdings[index];
        const double score = static_cast<double>(holding.bytes) * millisecondsBetween(holding.progressAt, now);
        if (now - holding.progressAt >= patience && score > most) {
            worst = index;
            most = score;
        }
    }
    return worst;
}

auto HeldBytes::Bounds::ofMemory(std::uint64_t memoryBytes) -> Bounds
{
    const std::uint64_t bytes = memoryBytes / BOUND_DIVISOR;
    return { bytes, bytes / RESERVE_DIVISOR, bytes / SMALL_DIVISOR };
}

HeldBytes::Charge::Charge(std::shared_ptr<HeldBytes> account)
    : account_(std::move(account))
{
}

HeldBytes::Charge::~Charge()
{
    set(0);
}

auto HeldBytes::Charge::bytes() const -> std::uint64_t
{
    return bytes_;
}

auto HeldBytes::Charge::set(std::uint64_t bytes) -> void
{
    if (account_ != nullptr) {
        account_->bytes_ += bytes;
        account_->bytes_ -= bytes_;
    }
    bytes_ = bytes;
}

auto HeldBytes::Charge::trySet(std::uint64_t bytes, BootTime now) -> bool
{
    if (account_ != nullptr && bytes > bytes_ && !account_->hasRoom(bytes_, bytes) && !account_->makeRoom(bytes_, bytes, now)) {
        ++account_->counts_.refused;
        return false;
    }
    set(bytes);
    return true;
}

HeldBytes::HeldBytes(Bounds bounds)
    : bounds_(bounds)
{
}

auto HeldBytes::addHolders(std::function<std::optional<Candidate>(BootTime now)> worst) -> void
{
    holders_.push_back(std::move(worst));
}

auto HeldBytes::bytes() const -> std::uint64_t
{
    return bytes_;
}

auto HeldBytes::bounds() const -> const Bounds &
{
    return bounds_;
}

auto HeldBytes::counts() const -> const Counts &
{
    return counts_;
}

auto HeldBytes::hasRoom(std::uint64_t held, std::uint64_t wanted) const -> bool
{
    const std::uint64_t bound = wanted <= bounds_.smallBytes ? bounds_.bytes : bounds_.bytes - bounds_.reserve;
    return bytes_ - held + wanted <= bound;
}

auto HeldBytes::makeRoom(std::uint64_t held, std::uint64_t wanted, BootTime now) -> bool
{
    log(now);
    while (!hasRoom(held, wanted)) {
        std::vector<Candidate> candidates;
        std::vector<Holding> holdings;
        for (const auto &worst : holders_) {
            if (auto candidate = worst(now)) {
                holdings.push_back(candidate->holding);
                candidates.push_back(*std::move(candidate));
            }
        }
        const auto chosen = chooseHoldingToEnd(holdings, now, Milliseconds(0));
        const std::uint64_t before = bytes_;
        if (!chosen) {
            return false;
        }
        candidates[*chosen].end();
        ++counts_.ended;
        if (bytes_ >= before) {
            return false;
        }
    }
    return true;
}

auto HeldBytes::log(BootTime now) -> void
{
    if (now - loggedAt_ < LOG_PERIOD) {
        return;
    }
    loggedAt_ = now;
    EventLog::write("memory_bound_reached",
                    { { "held", bytes_ }, { "bound", bounds_.bytes }, { "refused", counts_.refused }, { "ended", counts_.ended } });
}

} // namespace poplardock
