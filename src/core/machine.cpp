#include "core/machine.hpp"

#include <algorithm>

#include "constants.hpp"

namespace dockdyke::core {

bool Machine::has_image(const std::string& name) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& image) { return image.name == name; });
}

void Machine::note_image(const CachedImage& image, std::optional<double> cache_gb) {
  if (!images.empty() && images.back().name == image.name) return;
  std::erase_if(images, [&](const CachedImage& each) { return each.name == image.name; });
  images.push_back(image);
  if (!cache_gb) return;
  double held_gb = 0;
  for (const auto& each : images) held_gb += each.size_gb;
  while (held_gb > *cache_gb && images.size() > 1) {
    held_gb -= images.front().size_gb;
    images.erase(images.begin());
  }
}

bool Machine::fetches_image(const std::string& name) const {
  return std::any_of(assignments.begin(), assignments.end(),
                     [&](const AssignedTask& task) { return task.job->spec.image == name; });
}

bool Machine::reserved_against(const Job& job, Time now) const {
  if (in_gang_reserve && !job.is_gang() && now - job.queued_since < constants::kGangReserveWaitSeconds)
    return true;
  return reserved_for_gang != 0 && reserved_for_gang != job.serial;
}

}  // namespace dockdyke::core
