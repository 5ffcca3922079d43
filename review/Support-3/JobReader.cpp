#include "JobReader.h"

#include <absl/strings/str_cat.h>

namespace poplardock::review {

namespace {

constexpr Milliseconds READ_INTERVAL { 500 };

} // namespace

JobReader::JobReader(EventLoop &loop, BatchClient &client, Record &record, std::vector<std::string> addresses, std::string job)
    : loop_(loop)
    , client_(client)
    , record_(record)
    , addresses_(std::move(addresses))
    , job_(std::move(job))
    , self_(std::make_shared<JobReader *>(this))
{
}

auto JobReader::start() -> void
{
    isStopped_ = false;
    read();
}

auto JobReader::stop() -> void
{
    isStopped_ = true;
    timer_.cancel();
}

auto JobReader::job() const -> const std::string &
{
    return job_;
}

auto JobReader::results() const -> const std::vector<ReadResult> &
{
    return results_;
}

auto JobReader::total() const -> std::size_t
{
    return total_;
}

auto JobReader::hasAll() const -> bool
{
    return total_ > 0 && results_.size() >= total_;
}

auto JobReader::failures() const -> int
{
    return failures_;
}

auto JobReader::notFound() const -> int
{
    return notFound_;
}

auto JobReader::read() -> void
{
    const std::string &address = addresses_[calls_ % addresses_.size()];
    client_.readResults(address, job_, results_.size(), [weak = std::weak_ptr<JobReader *>(self_), address](const ResultPage &page) {
        if (const auto self = weak.lock()) {
            (*self)->take(address, page);
        }
    });
}

auto JobReader::take(const std::string &address, const ResultPage &page) -> void
{
    if (isStopped_) {
        return;
    }
    if (page.status == HttpStatus::OK) {
        total_ = page.total;
        results_.insert(results_.end(), page.results.begin(), page.results.end());
    } else {
        ++failures_;
        notFound_ += page.status == HttpStatus::NOT_FOUND ? 1 : 0;
        ++calls_;
    }
    record_.write(absl::StrCat("read ", job_, " at ", address, ": ", page.status, ", ", results_.size(), " of ", total_));
    if (hasAll()) {
        return;
    }
    // A page that brought results is followed by the next one; otherwise the client asks twice a second.
    timer_ = loop_.at(BootClock::now() + (page.results.empty() ? READ_INTERVAL : Milliseconds(0)), [this] { read(); });
}

} // namespace poplardock::review
