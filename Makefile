.PHONY: demo packages build test format thrift capacity

packages:
	ci/packages

build: packages
	cmake -S . -B build -G Ninja >/dev/null
	ninja -C build

demo: build
	build/src/hickorycrank demo

test: packages
	ci/check

format:
	git ls-files '*.cpp' '*.h' | grep -v '^src/gen/' | xargs clang-format-14 -i

# Needs the package thrift-compiler; only after a change of thrift/.
thrift:
	thrift --gen cpp:no_skeleton -out src/gen thrift/peer.thrift
	thrift --gen cpp:no_skeleton -out src/gen thrift/fleet.thrift

# Measures for some minutes; the page says what the machine was like.
capacity: build
	ci/capacity measure
