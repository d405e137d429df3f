// Runs a fuzz target over the files of a folder, so that CI needs no fuzzing compiler.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  int count = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& f : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(f.path(), std::ios::binary);
      const std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      ++count;
    }
  }
  std::printf("%d inputs\n", count);
  return count >= 50 ? 0 : 1;
}
