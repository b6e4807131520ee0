// Counts the program's allocations. The program is linked with `--wrap` for the functions below, so
// that calls from its object files and static libraries are counted; calls from shared
// libraries are not.
#include <cstdlib>
#include <new>

#include "support/work_meter.hpp"

// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming): the linker's names
extern "C" {
void* __real_malloc(std::size_t size);
void* __real_realloc(void* memory, std::size_t size);

void* __wrap_malloc(std::size_t size) {
  sailreel::sim::allocations.add(size);
  return __real_malloc(size);
}
void* __wrap_realloc(void* memory, std::size_t size) {
  sailreel::sim::allocations.add(size);
  return __real_realloc(memory, size);
}
}
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)

void* operator new(std::size_t size) {
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
// The definitions of this function in the standard library and in the sanitizer wouldn't match the
// `delete` below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return std::malloc(size); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete(void* memory, const std::nothrow_t&) noexcept { std::free(memory); }
