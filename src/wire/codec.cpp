#include "wire/codec.hpp"

#include <cstddef>
#include <cstdint>

#include "constants.hpp"

namespace dockdyke::wire {

namespace {

// First bytes of MessagePack's formats. Bytes below kNil and from kMinNegativeFixint on also contain a small
// value or, under the masks below, a length.
enum Format : std::uint8_t {
  kMaxPositiveFixint = 0x7f,
  kMaxFixmap = 0x8f,
  kMaxFixarray = 0x9f,
  kMinFixstr = 0xa0,
  kMaxFixstr = 0xbf,
  kNil = 0xc0,
  kFalse = 0xc2,
  kTrue = 0xc3,
  kFloat32 = 0xca,
  kFloat64 = 0xcb,
  kUint8 = 0xcc,
  kUint16 = 0xcd,
  kUint32 = 0xce,
  kUint64 = 0xcf,
  kInt8 = 0xd0,
  kInt16 = 0xd1,
  kInt32 = 0xd2,
  kInt64 = 0xd3,
  kStr8 = 0xd9,
  kStr16 = 0xda,
  kStr32 = 0xdb,
  kArray16 = 0xdc,
  kArray32 = 0xdd,
  kMap16 = 0xde,
  kMap32 = 0xdf,
  kMinNegativeFixint = 0xe0,
};
constexpr std::uint8_t kFixContainerSizeMask = 0x0f;
constexpr std::uint8_t kFixstrSizeMask = 0x1f;

// Validates MessagePack data without decoding it. The library's decoder recurses once per nesting level and
// would overflow the stack on deeply nested data, so the depth is checked here first. The skip_* functions
// advance past one element and return whether it is valid.
class MessagePackValidator {
 public:
  explicit MessagePackValidator(std::string_view bytes) : bytes_(bytes) {}

  // Returns whether the bytes are exactly one value that the protocol allows.
  bool validate() { return skip_value(0) && remaining() == 0; }

 private:
  std::size_t remaining() const { return bytes_.size() - position_; }

  std::uint8_t read_byte() { return static_cast<std::uint8_t>(bytes_[position_++]); }

  bool skip_bytes(std::size_t count) {
    if (count > remaining()) return false;
    position_ += count;
    return true;
  }

  // Reads a big-endian length of `width` bytes. Returns std::nullopt if fewer bytes remain.
  std::optional<std::size_t> read_length(std::size_t width) {
    if (width > remaining()) return std::nullopt;
    std::size_t result = 0;
    for (std::size_t i = 0; i < width; ++i) result = result << 8 | read_byte();
    return result;
  }

  bool skip_text(std::size_t length_width) {
    const auto size = read_length(length_width);
    return size && skip_bytes(*size);
  }

  bool skip_array(std::optional<std::size_t> count, int depth) {
    if (!count || depth >= constants::kMaxNestingDepth) return false;
    for (std::size_t i = 0; i < *count; ++i)
      if (!skip_value(depth + 1)) return false;
    return true;
  }

  bool skip_map(std::optional<std::size_t> count, int depth) {
    if (!count || depth >= constants::kMaxNestingDepth) return false;
    for (std::size_t i = 0; i < *count; ++i)
      if (!skip_key() || !skip_value(depth + 1)) return false;
    return true;
  }

  // Map keys must be strings.
  bool skip_key() {
    if (remaining() == 0) return false;
    const std::uint8_t format = read_byte();
    if (format >= kMinFixstr && format <= kMaxFixstr) return skip_bytes(format & kFixstrSizeMask);
    return format >= kStr8 && format <= kStr32 && skip_after_format_byte(format, 0);
  }

  bool skip_value(int depth) {
    if (remaining() == 0) return false;
    const std::uint8_t format = read_byte();
    if (format <= kMaxPositiveFixint || format >= kMinNegativeFixint) return true;
    if (format <= kMaxFixmap) return skip_map(format & kFixContainerSizeMask, depth);
    if (format <= kMaxFixarray) return skip_array(format & kFixContainerSizeMask, depth);
    if (format <= kMaxFixstr) return skip_bytes(format & kFixstrSizeMask);
    return skip_after_format_byte(format, depth);
  }

  // Skips the rest of a value whose format byte contains neither the value nor its length.
  bool skip_after_format_byte(std::uint8_t format, int depth) {
    switch (format) {
      case kNil:
      case kFalse:
      case kTrue:
        return true;
      case kUint8:
      case kInt8:
        return skip_bytes(1);
      case kUint16:
      case kInt16:
        return skip_bytes(2);
      case kFloat32:
      case kUint32:
      case kInt32:
        return skip_bytes(4);
      case kFloat64:
      case kUint64:
      case kInt64:
        return skip_bytes(8);
      case kStr8:
        return skip_text(1);
      case kStr16:
        return skip_text(2);
      case kStr32:
        return skip_text(4);
      case kArray16:
        return skip_array(read_length(2), depth);
      case kArray32:
        return skip_array(read_length(4), depth);
      case kMap16:
        return skip_map(read_length(2), depth);
      case kMap32:
        return skip_map(read_length(4), depth);
      default:
        return false;  // binary data, extensions and the unused byte 0xc1
    }
  }

  std::string_view bytes_;
  std::size_t position_ = 0;
};

}  // namespace

std::optional<Json> decode(std::string_view bytes) {
  if (!MessagePackValidator(bytes).validate()) return std::nullopt;
  constexpr bool kStrict = true;
  constexpr bool kAllowExceptions = false;
  auto value = Json::from_msgpack(bytes.begin(), bytes.end(), kStrict, kAllowExceptions);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

std::string encode(const Json& value) {
  std::string bytes;
  Json::to_msgpack(value, bytes);
  return bytes;
}

}  // namespace dockdyke::wire
