#include "log_limiter.h"

#include <algorithm>
#include <utility>

namespace basilspread::node {

LogLimiter::Bucket& LogLimiter::BucketOf(std::string_view kind, TimePoint now) {
  const auto found = this->buckets.find(kind);
  if (found != this->buckets.end()) {
    return found->second;
  }
  Bucket& bucket = this->buckets[std::string(kind)];
  bucket.tokens = this->limits.burst;
  bucket.refilled_at = now;
  return bucket;
}

bool LogLimiter::Admit(std::string_view kind, TimePoint now) {
  Bucket& bucket = this->BucketOf(kind, now);
  const std::chrono::duration<double> passed = now - bucket.refilled_at;
  bucket.tokens =
      std::min(this->limits.burst,
               bucket.tokens + passed.count() * this->limits.per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void LogLimiter::CountDropped(std::string_view kind) {
  const auto found = this->buckets.find(kind);
  if (found != this->buckets.end()) {
    ++found->second.dropped;
  }
}

std::vector<DroppedLines> LogLimiter::TakeDropped() {
  std::vector<DroppedLines> taken;
  for (auto& [kind, bucket] : this->buckets) {
    if (bucket.dropped > 0) {
      taken.push_back({kind, std::exchange(bucket.dropped, 0)});
    }
  }
  return taken;
}

}  // namespace basilspread::node
