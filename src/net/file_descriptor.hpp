// Ownership of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace dockdyke::net {

// Closes the descriptor that it owns, if any, when it is destroyed.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership; a negative number, as system calls return it on failure, stands for none.
  explicit FileDescriptor(int number) : number_(number) {}
  FileDescriptor(FileDescriptor&& other) noexcept : number_(std::exchange(other.number_, kNone)) {}
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
  // The number for system calls; stays owned.
  int get() const { return number_; }

 private:
  static constexpr int kNone = -1;

  int number_ = kNone;
};

}  // namespace dockdyke::net
