// The encoding of bodies: MessagePack, restricted to what the protocol allows (PROTOCOL, introduction).
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dockdyke::wire {

// A decoded body.
using Json = nlohmann::json;

// Decodes exactly one complete value. Returns nothing if the bytes are truncated, nested deeper than
// constants::kMaxNestingDepth, followed by further bytes, or contain what the protocol excludes (binary data,
// extensions, map keys that are not text).
std::optional<Json> decode(std::string_view bytes);

std::string encode(const Json& value);

}  // namespace dockdyke::wire
