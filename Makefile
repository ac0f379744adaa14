# godwitridge. Start with: make deps && make demo; make check
#
#   deps     install the Debian packages (root)        .ci/install
#   all      library, daemons, stand-ins               build/
#   tests    build the test programs; stress: its stress part
#   demo     all daemons and stand-ins with faults     SITE=hen-viec|dyehouse
#   target   godwitedge, as deploy/ builds it          target/
#   demo-site  godwitedge entries with a small stand-in site
#   check    unit, property, golden, stress, session and soak tests
#                                                      SAN=address|thread
#   check-long  check with more cases and soak seeds
#   soak     daemons under seeded faults               SEED=n SEEDS=count
#   lint     formatter and linters, warnings are errors
#   format   apply the formatter to the sources
#   proto    regenerate the committed protobuf-c code (needs protoc-c)
#   golden   regenerate tests/golden/*.txt; review before committing
#   fuzz     short seeded run of every fuzz target     FUZZ_RUNS=20000
#   bench    benchmarks of decisions, request path, steering core and log
#   slopes   control-plane cost by number of nodes
#   policies load shapes in virtual time, with the real steering core
#   mutants  mutation tests: each property detects its broken safeguard
#   install  library, headers, godwitd and godwitctl   DESTDIR=, PREFIX=
#   clean    remove the build folders

SHELL   := /bin/bash
PREFIX  ?= /usr/local
SAN     ?=
SITE    ?= hen-viec
FUZZ_RUNS ?= 20000
SEED    ?= 1
SEEDS   ?= 1
O       ?= build$(if $(SAN),-$(SAN))
MUTANT  ?=

PKGS    := glib-2.0 json-c libprotobuf-c libcurl popt log4c libxxhash \
           liburcu liburcu-memb libuv libzstd
CFLAGS  ?= -O2 -g
CSTD    := -std=gnu11 -D_GNU_SOURCE
WARN    := -Wall -Wextra -Werror -Wshadow -Wvla -Wno-unused-parameter
COMMA   := ,
SANFLAG := $(if $(SAN),-fsanitize=$(subst address,address$(COMMA)undefined,$(SAN)) \
             -fno-sanitize-recover=all)
PKGC    := $(subst -I/,-isystem /,$(shell pkg-config --cflags $(PKGS)))
INC     := -I. -Ilib -Itests -Istandins
ALLC    := $(CSTD) $(CFLAGS) $(WARN) $(SANFLAG) $(INC) \
           $(if $(MUTANT),-DGW_MUTANT=$(MUTANT)) \
           $(PKGC) -pthread
LIBS    := $(shell pkg-config --libs $(PKGS)) -lcivetweb -lhttp_parser -lm \
           -pthread

lib_src     := $(wildcard lib/*/*.c platform/*.c)
standin_lib := $(wildcard standins/common/*.c standins/site/*.c)
programs    := $(patsubst programs/%.c,$(O)/%,$(wildcard programs/*.c))
standins    := $(patsubst standins/%.c,$(O)/%,$(wildcard standins/*.c))
fakes       := $(wildcard tests/fakes/*.c)
unit_src    := $(wildcard tests/unit/*.c platform/tests/*.c)
props       := $(patsubst tests/property/%.cpp,$(O)/prop_%,\
                 $(wildcard tests/property/*.cpp))
stress      := $(patsubst tests/stress/%.c,$(O)/stress_%,\
                 $(wildcard tests/stress/*.c))
benches     := $(patsubst bench/%.c,$(O)/bench_%,$(wildcard bench/*.c))

obj = $(patsubst %.c,$(O)/obj/%.o,$(1))
LIB      := $(O)/libgodwitridge.a
FAKES    := $(O)/libfakes.a
STANDLIB := $(O)/libstandin.a

.PHONY: all deps demo demo-site target check check-long golden lint format fuzz bench slopes policies \
        mutants soak install clean tests stress proto
.SECONDARY:

all: $(LIB) $(programs) $(standins)

tests: $(O)/unit $(props) $(stress) $(O)/golden

stress: $(stress)

deps:
	.ci/install

$(O)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC  $<"
	@$(CC) $(ALLC) -MMD -MP -c $< -o $@

$(LIB): $(call obj,$(lib_src))
	@rm -f $@
	@$(AR) rcs $@ $^

$(FAKES): $(call obj,$(fakes))
	@mkdir -p $(@D)
	@rm -f $@
	@$(AR) rcs $@ $^

$(STANDLIB): $(call obj,$(standin_lib))
	@mkdir -p $(@D)
	@rm -f $@
	@$(AR) rcs $@ $^

$(O)/%: $(O)/obj/programs/%.o $(LIB)
	@echo "  LD  $@"
	@$(CC) $(SANFLAG) -o $@ $^ $(LIBS)

$(O)/%: $(O)/obj/standins/%.o $(STANDLIB) $(LIB)
	@echo "  LD  $@"
	@$(CC) $(SANFLAG) -o $@ $^ $(LIBS)

$(O)/unit: $(call obj,$(unit_src)) $(FAKES) $(STANDLIB) $(LIB)
	@echo "  LD  $@"
	@$(CC) $(SANFLAG) -o $@ $^ $(LIBS) -lcriterion

$(O)/prop_%: tests/property/%.cpp $(FAKES) $(LIB)
	@echo "  CXX $@"
	@$(CXX) -std=c++17 -O1 -g $(SANFLAG) $(INC) -Wall -Wextra \
	    -Wno-unused-parameter $(PKGC) \
	    -MMD -MP -o $@ $< $(FAKES) $(LIB) -lrapidcheck $(LIBS)

$(O)/golden: $(O)/obj/tests/golden/golden.o $(FAKES) $(LIB)
	@echo "  LD  $@"
	@$(CC) $(SANFLAG) -o $@ $^ $(LIBS)

$(O)/stress_%: $(O)/obj/tests/stress/%.o $(FAKES) $(STANDLIB) $(LIB)
	@echo "  LD  $@"
	@$(CC) $(SANFLAG) -o $@ $^ $(LIBS)

$(O)/bench_%: $(O)/obj/bench/%.o $(FAKES) $(STANDLIB) $(LIB)
	@echo "  LD  $@"
	@$(CC) $(SANFLAG) -o $@ $^ $(LIBS)

demo: deps
	+$(MAKE) all
	standins/demo.sh $(O) $(SITE)

# Builds as the deployment file does; needs the packages installed.
target:
	+$(MAKE) O=target target/godwitedge

demo-site: deps
	+$(MAKE) all
	standins/demo_site.sh $(O)

check: all tests
	tests/check.sh $(O)

check-long: all tests
	GW_LONG=1 tests/check.sh $(O)

golden: $(O)/golden
	for name in $$($(O)/golden --list); do \
	    $(O)/golden $$name > tests/golden/$$name.txt || exit 1; \
	done

mutants:
	tests/mutants.sh

soak: all
	tests/soak/soak.sh $(O) $(SEED) $(SEEDS)

bench: all $(benches)
	bench/run.sh $(O)
	bench/edge.sh $(O)
	$(O)/bench_router_cost
	$(O)/bench_log_cost

policies: $(O)/bench_policies
	$(O)/bench_policies

slopes: $(O)/bench_slopes
	$(O)/bench_slopes

# Sources for the formatter, clang-tidy and cppcheck; generated code is
# excluded.
src_c   := $(filter-out %.pb-c.c,$(lib_src) $(wildcard programs/*.c \
              standins/*.c standins/common/*.c standins/site/*.c tests/*/*.c platform/tests/*.c bench/*.c fuzz/*.c))
src_h   := $(filter-out %.pb-c.h,$(wildcard lib/*.h lib/*/*.h platform/*.h \
              standins/common/*.h standins/site/*.h tests/*/*.h bench/*.h))
src_cpp := $(wildcard tests/property/*.cpp)

format:
	clang-format -i $(src_c) $(src_h) $(src_cpp)

lint:
	tests/layout.sh
	clang-format --dry-run --Werror $(src_c) $(src_h) $(src_cpp)
	printf '%s\n' $(filter lib/% platform/% programs/% standins/%,$(src_c)) | \
	    xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(CSTD) $(INC) \
	    $(PKGC) 2>/dev/null' tidy
	cppcheck --quiet --std=c11 --enable=warning,performance,portability \
	    --inline-suppr --error-exitcode=1 --suppress=missingIncludeSystem \
	    --suppress='*:*.pb-c.*' -j 8 -Ilib -I. $(filter lib/% platform/% programs/% \
	    standins/%,$(src_c))

fuzz:
	fuzz/run.sh $(FUZZ_RUNS)

proto:
	protoc-c --proto_path=proto --c_out=lib/wire proto/inner.proto
	protoc-c --proto_path=proto --c_out=lib/wire proto/peer.proto
	protoc-c --proto_path=proto --c_out=lib/admin proto/admin.proto

install: all
	install -d $(DESTDIR)$(PREFIX)/{bin,lib/pkgconfig,include/godwitridge} \
	    $(DESTDIR)$(PREFIX)/share/man/man1
	install $(O)/godwitd $(O)/godwitctl $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	cd lib && cp --parents godwitridge.h godwitridge_errors.h \
	    config/model.h wire/message.h \
	    $(abspath $(DESTDIR)$(PREFIX))/include/godwitridge
	sed 's|@PREFIX@|$(PREFIX)|' lib/godwitridge.pc.in \
	    > $(DESTDIR)$(PREFIX)/lib/pkgconfig/godwitridge.pc
	install -m 644 docs/man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1

clean:
	rm -rf build build-address build-thread build-fuzz build-mutant

-include $(shell find $(O) -name '*.d' 2>/dev/null)
