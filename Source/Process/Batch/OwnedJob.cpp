#include "Process/Batch/OwnedJob.h"

#include <algorithm>

namespace poplardock {

OwnedJob::OwnedJob(JobRecord record, std::vector<JobItem> items, JobLedger::Log log)
    : record_(std::move(record))
{
    items_.reserve(items.size());
    for (JobItem &item : items) {
        indexOf_.emplace(item.id, items_.size());
        ItemProgress progress;
        progress.item = std::move(item);
        items_.push_back(std::move(progress));
    }
    replaceLog(log);
}

auto OwnedJob::record() const -> const JobRecord &
{
    return record_;
}

auto OwnedJob::setRecord(JobRecord record) -> void
{
    record_ = std::move(record);
}

auto OwnedJob::items() -> std::vector<ItemProgress> &
{
    return items_;
}

auto OwnedJob::findItem(const std::string &itemId) -> ItemProgress *
{
    const auto found = indexOf_.find(itemId);
    return found == indexOf_.end() ? nullptr : &items_[found->second];
}

auto OwnedJob::listed() const -> const std::vector<JobResult> &
{
    return listed_;
}

auto OwnedJob::isComplete() const -> bool
{
    return listed_.size() >= items_.size();
}

auto OwnedJob::finishItem(ItemProgress &item, bool isCompleted) -> void
{
    if (item.state == ItemState::Finished || item.state == ItemState::Listed) {
        return;
    }
    item.state = ItemState::Finished;
    unlisted_.push_back({ item.item.id, isCompleted, isCompleted ? std::move(item.text) : std::string() });
    item.text.clear();
}

auto OwnedJob::unlisted() const -> const std::vector<JobResult> &
{
    return unlisted_;
}

auto OwnedJob::nextNumber() const -> std::size_t
{
    return nextNumber_;
}

auto OwnedJob::list(const JobResult &result) -> void
{
    if (ItemProgress *item = findItem(result.itemId)) {
        item->state = ItemState::Listed;
        item->text.clear();
        item->item.body.clear();
    }
    listed_.push_back(result);
}

auto OwnedJob::markListed(std::size_t count) -> void
{
    for (std::size_t index = 0; index < count; ++index) {
        list(unlisted_[index]);
    }
    unlisted_.erase(unlisted_.begin(), unlisted_.begin() + static_cast<std::ptrdiff_t>(count));
    ++nextNumber_;
}

auto OwnedJob::replaceLog(const JobLedger::Log &log) -> void
{
    listed_.clear();
    nextNumber_ = log.nextNumber;
    for (const JobResult &result : log.results) {
        list(result);
    }
    std::erase_if(unlisted_, [this](const JobResult &result) {
        const ItemProgress *item = findItem(result.itemId);
        return item == nullptr || item->state == ItemState::Listed;
    });
}

} // namespace poplardock
