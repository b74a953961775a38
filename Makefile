# deps, build, test, lint; `make run` is a whole demonstration, `make run-balancer` one of the balancer alone;
# `make example` starts the toy servers that `make serve` is tried with.
JOBS ?= $(shell nproc)
# Of tests at a time: some measure times, and wait for one another on a full machine.
TEST_JOBS ?= 4
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
CMAKE_FILES = $(shell git ls-files --cached --others --exclude-standard '*.cmake' '*CMakeLists.txt' ':!journal')
# All code and all tests.
TEST_BUILD = -DSHALETRAY_TESTS=ON -DSHALETRAY_TESTBED=ON -DSHALETRAY_SYSTEM=ON
CONFIGURE_TEST = cmake -B build-test -DCMAKE_BUILD_TYPE=Release -DSHALETRAY_EXAMPLE=ON $(TEST_BUILD)

PACKAGES = cmake g++ make git libpoco-dev libfmt-dev nlohmann-json3-dev tao-pegtl-dev libcli11-dev libhiredis-dev \
  libxxhash-dev libsqlite3-dev libspdlog-dev
# For the whole system (deploy/system.toml): the gateway and the controller.
SYSTEM_PACKAGES = ninja-build libgflags-dev libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev \
  libboost-program-options1.81-dev libcapnp-dev capnproto pkgconf libleveldb-dev
# For the tests, the simulator and its reports, and the linters.
MORE_PACKAGES = libgtest-dev libcriterion-dev librapidcheck-dev gnuplot-nox clang-format clang-tidy shellcheck cmake-format

.PHONY: deps experiment mutations build test test-plain test-sanitize soak lint lint-format lint-shell lint-cmake \
  lint-includes lint-nolint lint-mutations lint-tidy check-packages format run run-balancer serve example clean

# Needs the right to install packages.
deps:
	apt-get update -qq
	apt-get install -y -qq --no-install-recommends $(PACKAGES) $(SYSTEM_PACKAGES) $(MORE_PACKAGES) > /dev/null

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DSHALETRAY_EXAMPLE=ON -DSHALETRAY_TESTBED=ON -DSHALETRAY_SYSTEM=ON
	cmake --build build -j$(JOBS)

test: test-sanitize test-plain

test-plain:
	$(CONFIGURE_TEST)
	cmake --build build-test -j$(JOBS)
	tools/ci/run_tests.sh build-test $(TEST_JOBS)

test-sanitize:
	cmake -B build-sanitize -DCMAKE_BUILD_TYPE=Debug -DSHALETRAY_SANITIZE=ON $(TEST_BUILD)
	cmake --build build-sanitize -j$(JOBS)
	tools/ci/run_tests.sh build-sanitize $(TEST_JOBS)

# The system as processes on loopback, under signals, restarts and changes: about 40 seconds a seed.
SOAK_SEEDS ?= 1 2
soak:
	$(CONFIGURE_TEST)
	cmake --build build-test -j$(JOBS) --target soak
	tools/ci/run_soak.sh build-test $(SOAK_SEEDS)

lint: lint-format lint-shell lint-cmake lint-includes lint-nolint lint-mutations lint-tidy

lint-format:
	@clang-format --dry-run --Werror $(SOURCES)

lint-shell:
	tools/lint/shell_scripts.sh

lint-cmake:
	@cmake-lint --suppress-decorations $(CMAKE_FILES)

lint-includes:
	tools/lint/include_direction.sh

# Prints how many findings of clang-tidy are silenced, and demands a reason for each.
lint-nolint:
	tools/lint/nolint.sh

# Whether the mutations still apply; playing them takes minutes (mutations).
lint-mutations:
	tools/lint/mutation_patches.sh

# Needs the generated headers, but no build. What was found clean is not read again while it stays the same.
lint-tidy:
	$(CONFIGURE_TEST) > /dev/null
	cmake --build build-test --target generated_sources
	JOBS=$(JOBS) tools/lint/clang_tidy.sh build-test

# Builds as the deploy file says, and demands that its packages bring all that the build uses.
check-packages:
	sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"
	tools/packages/check_system_packages.sh deploy/system.toml

format:
	clang-format -i $(SOURCES)

# One direction's measurement: make experiment NAME=counter, with SEED= and sizes from the environment.
experiment: build
	exec build/experiment_$(NAME)

# Breaks the code in each way that testbed/mutations holds, and demands that the tests named there find it: make
# mutations, or make mutations NAMES="vote-before-sync ...".
mutations:
	JOBS=$(JOBS) testbed/mutations/play.sh build-mutations $(NAMES)

# The whole system on loopback for twenty seconds: three gateways and controllers, emulated servers, an operator
# and clients, figures on the terminal. SEED=, CONTROLLERS= and LOAD= from the environment.
run: build
	exec build/system_demo

# The same for the program of deploy/balancer.toml: three gateways, a discovery, emulated servers and clients.
run-balancer: build
	exec build/shaletray_lab demo

serve: build
	EDGE_CONFIG=$${EDGE_CONFIG:-example/config.json} exec build/shaletray

example: build
	exec build/toy_server

clean:
	rm -rf build build-test build-sanitize build-mutations target
