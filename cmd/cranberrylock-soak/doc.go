// Command cranberrylock-soak runs routers as processes on loopback under random faults and checks their promises.
package main
