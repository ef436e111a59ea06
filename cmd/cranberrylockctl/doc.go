// Command cranberrylockctl checks and applies configuration files, and shows the status, bills and burn rates of a fleet of
// daemons through their admin interface.
package main
