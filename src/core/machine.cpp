#include "core/machine.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

bool Machine::has_image(const std::string& name) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& image) { return image.name == name; });
}

void Machine::record_image_use(const CachedImage& image, std::optional<double> cache_gb) {
  if (!images.empty() && images.back().name == image.name) return;
  std::erase_if(images, [&](const CachedImage& cached) { return cached.name == image.name; });
  images.push_back(image);
  if (!cache_gb) return;
  double cached_gb = 0;
  for (const auto& cached : images) cached_gb += cached.size_gb;
  while (cached_gb > *cache_gb && images.size() > 1) {
    cached_gb -= images.front().size_gb;
    images.erase(images.begin());
  }
}

bool Machine::has_task_with_image(const std::string& name) const {
  return std::any_of(assignments.begin(), assignments.end(),
                     [&](const AssignedTask& task) { return task.job->spec.image == name; });
}

bool Machine::reserved_for_other(const Job& job, Time now) const {
  if (in_gang_reserve && !job.is_gang() && now - job.queued_at < constants::kGangReserveWaitSeconds)
    return true;
  return reserved_for_gang != 0 && reserved_for_gang != job.serial;
}

}  // namespace dockdyke::core
