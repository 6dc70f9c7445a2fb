// Encodes and decodes message bodies: MessagePack, restricted to the subset that the protocol allows.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dockdyke::wire {

// A decoded body.
using Json = nlohmann::json;

// Decodes exactly one complete value. Returns std::nullopt if the bytes are truncated, nested deeper than
// constants::kMaxNestingDepth, followed by further bytes, or contain formats that the protocol excludes
// (binary data, extensions, map keys that are not strings).
std::optional<Json> decode(std::string_view bytes);

std::string encode(const Json& value);

}  // namespace dockdyke::wire
