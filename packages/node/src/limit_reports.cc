#include "limit_reports.h"

#include <utility>

namespace basilspread::node {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

}  // namespace

LimitReports::LimitReports(Write write_hook) : write(std::move(write_hook)) {}

void LimitReports::Add(ConnectionLimit limit, TimePoint now) {
  std::uint64_t times = 0;
  {
    const std::lock_guard lock(this->mutex);
    Count& count = this->counts.at(static_cast<std::size_t>(limit));
    ++count.times;
    if (now - count.logged_at < kInterval) {
      return;
    }
    count.logged_at = now;
    times = std::exchange(count.times, 0);
  }
  this->write(limit, times);
}

}  // namespace basilspread::node
