// Strong identifiers: a job's id can't be handed over as a machine's.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dockdyke {

template <class Tag, class Value>
struct StrongId {
  Value value{};
  StrongId() = default;
  explicit StrongId(Value v) : value(std::move(v)) {}
  auto operator<=>(const StrongId&) const = default;
};

using JobId = StrongId<struct JobTag, std::string>;
using MachineId = StrongId<struct MachineTag, std::string>;
using ScaleOutId = StrongId<struct ScaleOutTag, std::string>;
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;
// The token that entitles a leader to give commands.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
// A revision of the state service: of its whole contents or of one key.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

using TaskIndex = std::uint32_t;
using Attempt = std::uint64_t;

}  // namespace dockdyke

template <class Tag, class Value>
struct std::hash<dockdyke::StrongId<Tag, Value>> {
  std::size_t operator()(const dockdyke::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value);
  }
};
