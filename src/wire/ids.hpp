// Strong identifier types: passing a job id where a machine id is expected does not compile.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dockdyke {

// An identifier that can be compared and hashed and has no implicit conversions. `Tag` makes each kind of
// identifier a distinct type.
template <class Tag, class Value>
struct StrongId {
  Value value{};
  StrongId() = default;
  explicit StrongId(Value v) : value(std::move(v)) {}
  auto operator<=>(const StrongId&) const = default;
};

using JobId = StrongId<struct JobTag, std::string>;
using MachineId = StrongId<struct MachineTag, std::string>;
// Idempotency key of a scale-out request. Never reused for another request.
using ScaleOutId = StrongId<struct ScaleOutTag, std::string>;
// Id of a lease in the state service.
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;
// Fencing token of a leader. Workers reject commands with a lower token than the highest one they have seen.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
// Revision of the state service as a whole, or of the last change of one key.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

// Zero-based index of a task in its job.
using TaskIndex = std::uint32_t;
// Number of an attempt to run a task. Numbers are never reused: once an attempt's exit is acknowledged, the
// worker no longer knows the attempt and would run it again.
using Attempt = std::uint64_t;

}  // namespace dockdyke

template <class Tag, class Value>
struct std::hash<dockdyke::StrongId<Tag, Value>> {
  std::size_t operator()(const dockdyke::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value);
  }
};
