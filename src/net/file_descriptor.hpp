// An owning wrapper of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace dockdyke::net {

// Owns a file descriptor, or none, and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of a descriptor. A negative number, the failure value of system calls, means none.
  explicit FileDescriptor(int number) : number_(number) {}
  FileDescriptor(FileDescriptor&& other) noexcept : number_(std::exchange(other.number_, kInvalid)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (valid()) ::close(number_);
  }

  bool valid() const { return number_ >= 0; }
  // Returns the descriptor for use in system calls without giving up ownership.
  int get() const { return number_; }

 private:
  static constexpr int kInvalid = -1;

  int number_ = kInvalid;
};

}  // namespace dockdyke::net
