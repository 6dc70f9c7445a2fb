#include "wire/codec.hpp"

#include <cstddef>
#include <cstdint>

#include "constants.hpp"

namespace dockdyke::wire {

namespace {

// First bytes of MessagePack's formats. Those below kNil, and from kMinNegativeFixint on, contain a small
// value or a length; see the masks.
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

// Walks over one MessagePack value without building anything. The library's decoder recurses per level and
// would overflow the stack on deeply nested lists, so the depth is checked here first.
class Scanner {
 public:
  explicit Scanner(std::string_view bytes) : bytes_(bytes) {}

  // Whether the bytes are exactly one value that the protocol allows.
  bool is_one_value() { return value(0) && remaining() == 0; }

 private:
  std::size_t remaining() const { return bytes_.size() - position_; }

  std::uint8_t next_byte() { return static_cast<std::uint8_t>(bytes_[position_++]); }

  bool skip(std::size_t count) {
    if (count > remaining()) return false;
    position_ += count;
    return true;
  }

  // A big-endian length of `width` bytes.
  std::optional<std::size_t> length(std::size_t width) {
    if (width > remaining()) return std::nullopt;
    std::size_t result = 0;
    for (std::size_t i = 0; i < width; ++i) result = result << 8 | next_byte();
    return result;
  }

  bool text(std::size_t length_width) {
    const auto size = length(length_width);
    return size && skip(*size);
  }

  bool array(std::optional<std::size_t> count, int depth) {
    if (!count || depth >= constants::kMaxNestingDepth) return false;
    for (std::size_t i = 0; i < *count; ++i)
      if (!value(depth + 1)) return false;
    return true;
  }

  bool map(std::optional<std::size_t> count, int depth) {
    if (!count || depth >= constants::kMaxNestingDepth) return false;
    for (std::size_t i = 0; i < *count; ++i)
      if (!key() || !value(depth + 1)) return false;
    return true;
  }

  // Only text may be a key.
  bool key() {
    if (remaining() == 0) return false;
    const std::uint8_t format = next_byte();
    if (format >= kMinFixstr && format <= kMaxFixstr) return skip(format & kFixstrSizeMask);
    return format >= kStr8 && format <= kStr32 && sized_value(format, 0);
  }

  bool value(int depth) {
    if (remaining() == 0) return false;
    const std::uint8_t format = next_byte();
    if (format <= kMaxPositiveFixint || format >= kMinNegativeFixint) return true;
    if (format <= kMaxFixmap) return map(format & kFixContainerSizeMask, depth);
    if (format <= kMaxFixarray) return array(format & kFixContainerSizeMask, depth);
    if (format <= kMaxFixstr) return skip(format & kFixstrSizeMask);
    return sized_value(format, depth);
  }

  // The rest of a value whose first byte only names its format.
  bool sized_value(std::uint8_t format, int depth) {
    switch (format) {
      case kNil:
      case kFalse:
      case kTrue:
        return true;
      case kUint8:
      case kInt8:
        return skip(1);
      case kUint16:
      case kInt16:
        return skip(2);
      case kFloat32:
      case kUint32:
      case kInt32:
        return skip(4);
      case kFloat64:
      case kUint64:
      case kInt64:
        return skip(8);
      case kStr8:
        return text(1);
      case kStr16:
        return text(2);
      case kStr32:
        return text(4);
      case kArray16:
        return array(length(2), depth);
      case kArray32:
        return array(length(4), depth);
      case kMap16:
        return map(length(2), depth);
      case kMap32:
        return map(length(4), depth);
      default:
        return false;  // binary data, extensions and the byte that MessagePack never uses
    }
  }

  std::string_view bytes_;
  std::size_t position_ = 0;
};

}  // namespace

std::optional<Json> decode(std::string_view bytes) {
  if (!Scanner(bytes).is_one_value()) return std::nullopt;
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
