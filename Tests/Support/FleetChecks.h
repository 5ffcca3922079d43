#pragma once

#include "Support/CallerLoad.h"
#include "Support/ProcessFleet.h"

#include <map>
#include <string>
#include <vector>

namespace poplardock {

/// What all upstreams have received since their start, by the id in the body. Ids end in a dot.
class Deliveries
{
public:
    explicit Deliveries(const ProcessFleet &fleet);

    [[nodiscard]] auto countOf(const std::string &id) const -> int;
    [[nodiscard]] auto headers() const -> const std::vector<std::string> &;

private:
    auto add(const std::string &body) -> void;

    std::map<std::string, int> counts_;
    std::vector<std::string> headers_;
};

/// A job with items "JOBKEY-0.", "JOBKEY-1.", ... for the model, or for a path when one is given.
struct JobShape
{
    std::string jobKey;
    std::string path;
    bool isRepeatable = true;
    int items = 1;
    /// Tokens of each answer of the model.
    int tokens = 1;

    [[nodiscard]] auto document() const -> std::string;
};

/// The functions below return one line for each violation; an empty list is a pass.

/// Each item of an ended job of team "anna" has one outcome, and a done one the answer to its own body. Items that may
/// not be repeated may also have the outcome that they may have run, and reached upstreams at most once.
auto findJobFaults(const ProcessFleet &fleet, std::size_t daemon, const JobShape &job) -> std::vector<std::string>;
/// No answer belongs to another request, a refusal as not run is true, and a request that may not be repeated ran at
/// most once.
auto findRequestFaults(const std::vector<CallOutcome> &outcomes, const Deliveries &deliveries, bool isRepeatable)
    -> std::vector<std::string>;
/// No header that an upstream received holds the text.
auto findHeaderFaults(const Deliveries &deliveries, const std::string &text) -> std::vector<std::string>;

} // namespace poplardock
