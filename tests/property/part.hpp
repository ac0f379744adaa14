// Splits the cases of a property over processes: GW_PART=2/6 runs the second
// of six parts, anything else all cases.
#ifndef GW_TESTS_PROPERTY_PART_HPP
#define GW_TESTS_PROPERTY_PART_HPP

#include <cstdint>
#include <cstdio>
#include <cstdlib>

class Part {
  public:
    Part()
    {
        const char *share = std::getenv("GW_PART");
        if (share == nullptr ||
            std::sscanf(share, "%u/%u", &part_, &parts_) != 2 || parts_ == 0) {
            part_ = parts_ = 1;
        }
    }

    // Whether the next case belongs to this part; to be called once for each.
    bool
    takesNext()
    {
        return next_++ % parts_ == part_ - 1;
    }

  private:
    uint32_t part_ = 1;
    uint32_t parts_ = 1;
    uint32_t next_ = 0;
};

#endif
