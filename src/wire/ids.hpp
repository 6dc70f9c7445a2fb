// Strong identifier types: the compiler refuses a job's id where a machine's is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dockdyke {

// A value that can be compared and hashed, and that converts neither from nor to another kind of id. `Tag`
// tells the kinds apart.
template <class Tag, class Value>
struct StrongId {
  Value value{};
  StrongId() = default;
  explicit StrongId(Value v) : value(std::move(v)) {}
  auto operator<=>(const StrongId&) const = default;
};

using JobId = StrongId<struct JobTag, std::string>;
using MachineId = StrongId<struct MachineTag, std::string>;
// Idempotency key of a scale-out request. Never used again for another request.
using ScaleOutId = StrongId<struct ScaleOutTag, std::string>;
// A lease of the state service.
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;
// The token that entitles a leader to give commands. PROTOCOL, "Tokens".
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
// A revision of the state service: of its whole contents, or of the last change of one key.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

// Position of a task in its job, from 0.
using TaskIndex = std::uint32_t;
// Number of a task's start. An attempt that was acknowledged may be started anew, so numbers are not reused.
using Attempt = std::uint64_t;

}  // namespace dockdyke

template <class Tag, class Value>
struct std::hash<dockdyke::StrongId<Tag, Value>> {
  std::size_t operator()(const dockdyke::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value);
  }
};
