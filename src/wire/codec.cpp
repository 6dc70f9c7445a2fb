#include "wire/codec.hpp"

#include <cmath>

#include "constants.hpp"

namespace dockdyke::wire {

namespace {

// Walks over one MessagePack value without building anything. The decoder proper recurses per level and would
// run out of stack on a body of nested lists, so depth is bounded here first.
class Scanner {
 public:
  explicit Scanner(std::string_view bytes) : bytes_(bytes) {}

  bool whole() { return value(0) && at_ == bytes_.size(); }

 private:
  bool skip(std::size_t count) {
    if (count > bytes_.size() - at_) return false;
    at_ += count;
    return true;
  }

  std::optional<std::size_t> length(int width) {
    if (static_cast<std::size_t>(width) > bytes_.size() - at_) return std::nullopt;
    std::size_t out = 0;
    for (int i = 0; i < width; ++i) out = out << 8 | static_cast<unsigned char>(bytes_[at_++]);
    return out;
  }

  bool text(int width) {
    auto size = length(width);
    return size && skip(*size);
  }

  bool items(std::optional<std::size_t> count, bool map, int depth) {
    if (!count || depth >= constants::kMaxNestingDepth) return false;
    for (std::size_t i = 0; i < *count; ++i) {
      if (map && !key()) return false;
      if (!value(depth + 1)) return false;
    }
    return true;
  }

  bool key() {
    if (at_ >= bytes_.size()) return false;
    auto byte = static_cast<unsigned char>(bytes_[at_]);
    const bool is_text = (byte >= 0xa0 && byte <= 0xbf) || (byte >= 0xd9 && byte <= 0xdb);
    return is_text && value(0);
  }

  bool value(int depth) {
    if (at_ >= bytes_.size()) return false;
    auto byte = static_cast<unsigned char>(bytes_[at_++]);
    if (byte <= 0x7f || byte >= 0xe0) return true;
    if (byte <= 0x8f) return items(byte & 0x0f, true, depth);
    if (byte <= 0x9f) return items(byte & 0x0f, false, depth);
    if (byte <= 0xbf) return skip(byte & 0x1f);
    switch (byte) {
      case 0xc0:
      case 0xc2:
      case 0xc3:
        return true;
      case 0xca:
      case 0xce:
      case 0xd2:
        return skip(4);
      case 0xcb:
      case 0xcf:
      case 0xd3:
        return skip(8);
      case 0xcc:
      case 0xd0:
        return skip(1);
      case 0xcd:
      case 0xd1:
        return skip(2);
      case 0xd9:
        return text(1);
      case 0xda:
        return text(2);
      case 0xdb:
        return text(4);
      case 0xdc:
        return items(length(2), false, depth);
      case 0xdd:
        return items(length(4), false, depth);
      case 0xde:
        return items(length(2), true, depth);
      case 0xdf:
        return items(length(4), true, depth);
      default:
        return false;  // binary data, extensions and the byte that is never used
    }
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
};

template <class T>
T required(std::optional<T> value, const char* field) {
  if (!value) throw Malformed(std::string("field missing or invalid: ") + field);
  return *std::move(value);
}

template <class T, class Convert>
std::optional<T> checked(const Json& map, const char* field, Convert convert) {
  const Json* value = find(map, field);
  if (!value) return std::nullopt;
  return required<T>(convert(*value), field);
}

std::optional<std::string> as_text(const Json& value) {
  if (!value.is_string()) return std::nullopt;
  return value.get<std::string>();
}

std::optional<bool> as_flag(const Json& value) {
  if (!value.is_boolean()) return std::nullopt;
  return value.get<bool>();
}

}  // namespace

std::optional<Json> decode(std::string_view bytes) {
  if (!Scanner(bytes).whole()) return std::nullopt;
  auto out = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (out.is_discarded()) return std::nullopt;
  return out;
}

std::string encode(const Json& value) {
  std::string out;
  Json::to_msgpack(value, out);
  return out;
}

const Json* find(const Json& map, const char* field) {
  if (!map.is_object()) throw Malformed("not a map");
  auto found = map.find(field);
  return found == map.end() || found->is_null() ? nullptr : &*found;
}

std::optional<std::uint64_t> as_count(const Json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  if (value.is_number_integer()) {
    auto number = value.get<std::int64_t>();
    if (number < 0) return std::nullopt;
    return static_cast<std::uint64_t>(number);
  }
  if (!value.is_number_float()) return std::nullopt;
  double number = value.get<double>();
  // 2^64 itself is the first value that does not fit; the comparison also turns away NaN.
  if (!(number >= 0 && number < 18446744073709551616.0) || std::trunc(number) != number) return std::nullopt;
  return static_cast<std::uint64_t>(number);
}

std::optional<double> as_amount(const Json& value) {
  if (!value.is_number()) return std::nullopt;
  double number = value.get<double>();
  if (!std::isfinite(number) || number < 0) return std::nullopt;
  return number;
}

std::optional<std::string> optional_text(const Json& map, const char* field) {
  return checked<std::string>(map, field, as_text);
}
std::optional<std::uint64_t> optional_count(const Json& map, const char* field) {
  return checked<std::uint64_t>(map, field, as_count);
}
std::optional<double> optional_amount(const Json& map, const char* field) {
  return checked<double>(map, field, as_amount);
}
std::string require_text(const Json& map, const char* field) {
  return required(optional_text(map, field), field);
}
std::uint64_t require_count(const Json& map, const char* field) {
  return required(optional_count(map, field), field);
}
double require_amount(const Json& map, const char* field) {
  return required(optional_amount(map, field), field);
}
bool require_flag(const Json& map, const char* field) {
  return required(checked<bool>(map, field, as_flag), field);
}
bool flag_or(const Json& map, const char* field, bool fallback) {
  return checked<bool>(map, field, as_flag).value_or(fallback);
}

}  // namespace dockdyke::wire
